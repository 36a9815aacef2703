/**
 * The duty of ordering endpoints for services that the platform scales. Each service has a holder of its own in each data
 * centre.
 *
 * @module
 */
import {
  type Clock,
  type DataCentreId,
  type ServiceId,
  toWpError,
  type Undo,
} from "@wisteriapick/core";
import { type ClaimPosition, type ScaleLimits, ScaleTarget } from "@wisteriapick/policy";
import type { ServiceDemand } from "@wisteriapick/wire";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import type { LinkedPeer, PeerGroup } from "../peers/peer_group.ts";
import type { CallRight, CloudCalls } from "./cloud.ts";
import type { DutyObject } from "./duty_object.ts";

/** A service that the platform scales, in one data centre. */
export interface ScaledService {
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly limits: ScaleLimits;
  /** Endpoints that are registered and do not leave. */
  readonly endpoints: number;
  /** Requests that one endpoint runs concurrently. */
  readonly slots: number;
}

/** What the duty needs to know of this gateway. */
export interface ScaleSource {
  /** All services with limits, in each data centre where they have an endpoint. Empty if the platform scales none. */
  scaled(): readonly ScaledService[];
  /** This gateway's requests for scaled services, at endpoints and waiting. */
  demand(): readonly ServiceDemand[];
}

/** Options of {@link AutoscaleDuty}. */
export interface AutoscaleDutyOptions {
  readonly source: ScaleSource;
  readonly makeObject: (name: string) => DutyObject;
  readonly cloud: CloudCalls;
  readonly network: PeerGroup;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Whether this gateway is cut off from most of the others, so that they know of more requests. */
  readonly isCutOff: () => boolean;
  /** Additional time for which each candidate waits for the one before it, in milliseconds. */
  readonly patienceMs: number;
  /** Shortest time between two calls of this gateway, in milliseconds. */
  readonly callGapMs: number;
}

interface Subject {
  readonly object: DutyObject;
  readonly target: ScaleTarget;
  /** Where the object was when it was last read or written. */
  position: ClaimPosition | null;
  /** The number that was written last, as far as is known. */
  ordered: number | null;
  /** Whether the platform has accepted `ordered` from this gateway. */
  isAccepted: boolean;
  /** When `ordered` became known. */
  orderedAtMs: number;
  /** Since when another number is needed; `null` if none is. */
  dueAtMs: number | null;
  retryAtMs: number;
}

interface PeerDemand {
  readonly atMs: number;
  readonly demands: readonly ServiceDemand[];
}

const SINCE_VERSION = 6;
const DUTY = "autoscale";
const CANDIDATES = 3;
/** Age from which what a gateway has said of its requests no longer counts. */
const DEMAND_TTL_MS = 5_000;
/** Interval at which a gateway repeats what it has said, even if nothing has changed. */
const DEMAND_REPEAT_MS = 2_000;
/** Time past the start-up after which endpoints that were ordered must be registered, or they are ordered once more. */
const EFFECT_GRACE_MS = 10_000;
const RETRY_MS = 1_000;

/** Orders endpoints while this gateway holds the duty, and takes it over when its holder is silent. */
export class AutoscaleDuty {
  readonly #options: AutoscaleDutyOptions;
  readonly #subjects = new Map<string, Subject>();
  readonly #demands = new Map<string, PeerDemand>();
  readonly #undos: Undo[];
  #lastDemand = "";
  #demandSentAtMs = -Infinity;
  #isBusy = false;
  #nextCallAtMs = -Infinity;

  constructor(options: AutoscaleDutyOptions) {
    this.#options = options;
    const { network, clock } = options;
    this.#undos = [
      network.registerHandler("service_demand", (peer, { demands }) => {
        this.#demands.set(peer, { atMs: clock.now(), demands });
      }),
      network.registerDown((peer) => this.#demands.delete(peer)),
    ];
  }

  /** Disconnects from the network. */
  close(): void {
    for (const undo of this.#undos) undo();
  }

  get #candidates(): readonly string[] {
    const understands = ({ protocolVersion }: LinkedPeer) => protocolVersion >= SINCE_VERSION;
    return this.#options.network.orderOf(DUTY, understands).slice(0, CANDIDATES);
  }

  /** Tells the candidates how many requests this gateway has. */
  publish(): void {
    const { source, network, clock } = this.#options;
    const nowMs = clock.now();
    const demands = source.demand();
    const text = JSON.stringify(demands);
    const isRepeat = text === this.#lastDemand;
    if (isRepeat && (demands.length === 0 || nowMs - this.#demandSentAtMs < DEMAND_REPEAT_MS)) {
      return;
    }
    this.#lastDemand = text;
    this.#demandSentAtMs = nowMs;
    for (const candidate of this.#candidates) {
      if (candidate === network.name) this.#demands.set(network.name, { atMs: nowMs, demands });
      else if (!network.isCongested(candidate)) {
        network.send(candidate, { kind: "service_demand", demands });
      }
    }
  }

  /** Does what is due for each service, unless the last round is still under way. */
  async tick(): Promise<void> {
    const { source, network } = this.#options;
    if (this.#isBusy) return;
    const scaled = source.scaled();
    if (scaled.length === 0) return;
    const rank = this.#candidates.indexOf(network.name);
    this.#isBusy = true;
    try {
      for (const item of scaled) {
        if (rank >= 0) await this.#perform(item);
      }
    } finally {
      this.#isBusy = false;
    }
  }

  async #perform(item: ScaledService): Promise<void> {
    const { clock, log } = this.#options;
    const name = `${DUTY}:${item.service}:${item.dataCentre}`;
    let subject = this.#subjects.get(name);
    if (subject === undefined) this.#subjects.set(name, subject = this.#makeSubject(name));
    const requests = this.#requestsOf(item);
    subject.target.record({ requests, slots: item.slots }, clock.now());
    if (clock.now() < subject.retryAtMs) return;
    try {
      await this.#step(item, subject);
    } catch (e) {
      log.state("duty_failed", { duty: DUTY, object: name, err: toWpError(e) });
      subject.retryAtMs = clock.now() + RETRY_MS;
    }
  }

  #makeSubject(name: string): Subject {
    return {
      object: this.#options.makeObject(name),
      target: new ScaleTarget(),
      position: null,
      ordered: null,
      isAccepted: true,
      orderedAtMs: -Infinity,
      dueAtMs: null,
      retryAtMs: -Infinity,
    };
  }

  /** Requests of all gateways for a service, those that wait divided among its data centres. */
  #requestsOf({ service, dataCentre, endpoints }: ScaledService): number {
    const { clock, source } = this.#options;
    const all = source.scaled().filter((item) => item.service === service)
      .reduce((sum, item) => sum + item.endpoints, 0);
    const share = all === 0 ? 1 : endpoints / all;
    let requests = 0;
    for (const { atMs, demands } of this.#demands.values()) {
      if (clock.now() - atMs > DEMAND_TTL_MS) continue;
      for (const demand of demands) {
        if (demand.service !== service) continue;
        if (demand.dataCentre === dataCentre) requests += demand.requests;
        if (demand.dataCentre === null) requests += demand.requests * share;
      }
    }
    return requests;
  }

  async #step(item: ScaledService, subject: Subject): Promise<void> {
    const { object } = subject;
    const { clock } = this.#options;
    const right = object.right();
    if (right !== null && !subject.isAccepted && subject.ordered !== null) {
      return await this.#send(item, subject, subject.ordered, right);
    }
    const nowMs = clock.now();
    const current = subject.ordered ?? item.endpoints;
    const desired = subject.target.desired(current, item.limits, nowMs);
    const { claim } = object;
    const isUnsent = claim.isHolder && !subject.isAccepted;
    // A gateway that does not hear of most requests can tell that more endpoints are needed, but not that fewer are.
    const isDue = this.#options.isCutOff()
      ? desired > (subject.ordered ?? Infinity)
      : desired !== subject.ordered || this.#lacksEffect(item, subject, nowMs);
    if (!isDue && !isUnsent) {
      subject.dueAtMs = null;
      return;
    }
    subject.dueAtMs ??= nowMs;
    // What another gateway has written since decides what is due.
    if (!claim.isHolder && object.readAtMs < subject.dueAtMs) {
      return await this.#read(subject);
    }
    const patienceMs = this.#options.patienceMs * this.#rank(subject);
    const step = claim.next({ dueAtMs: subject.dueAtMs, patienceMs, monotonicMs: nowMs });
    if (step.type === "wait") return;
    if (step.type === "read") return await this.#read(subject);
    if (!await object.write(step, { desired })) {
      subject.retryAtMs = clock.now() + RETRY_MS;
      return;
    }
    subject.position = object.claim.position;
    subject.ordered = desired;
    subject.orderedAtMs = clock.now();
    subject.isAccepted = false;
    subject.dueAtMs = null;
  }

  /** Whether endpoints that were ordered should be there and are not, as their order may never have been sent. */
  #lacksEffect(
    { endpoints, limits }: ScaledService,
    { ordered, orderedAtMs }: Subject,
    nowMs: number,
  ) {
    return endpoints !== ordered && nowMs - orderedAtMs >= limits.bootMs + EFFECT_GRACE_MS;
  }

  async #read(subject: Subject): Promise<void> {
    const { clock } = this.#options;
    const { object } = subject;
    const { content } = await object.read();
    const { position, isHolder } = object.claim;
    const known = subject.position;
    if (position?.era === known?.era && position?.revision === known?.revision) return;
    subject.position = position;
    subject.ordered = decodeDesired(content);
    // The same number that was written again was ordered again.
    subject.orderedAtMs = clock.now();
    // A write of this gateway whose response was lost has not been followed by a call.
    subject.isAccepted = !isHolder;
  }

  #rank({ object }: Subject): number {
    const { network } = this.#options;
    const holder = object.claim.holder?.gateway;
    const others = this.#candidates.filter((name) => name === network.name || name !== holder);
    return Math.max(0, others.indexOf(network.name));
  }

  async #send(
    { service, dataCentre }: ScaledService,
    subject: Subject,
    desired: number,
    right: CallRight,
  ): Promise<void> {
    const { cloud, clock, log, metrics, callGapMs } = this.#options;
    if (clock.now() < this.#nextCallAtMs) return;
    this.#nextCallAtMs = clock.now() + callGapMs;
    const order = { service, dataCentre, desired };
    const { outcome, detail } = await cloud.scale(order, right);
    metrics.countScaleOrder(outcome);
    log.state("scale_order_sent", { ...order, token: right.token, outcome, detail });
    if (outcome === "limited" || outcome === "failed") {
      subject.retryAtMs = clock.now() + RETRY_MS;
      return;
    }
    subject.isAccepted = true;
    if (outcome === "refused") subject.object.claim.recordUnknown();
  }
}

/** The number in the content of an object; `null` if there is none. */
function decodeDesired(content: unknown): number | null {
  const { desired } = (content ?? {}) as { readonly desired?: unknown };
  return Number.isSafeInteger(desired) && (desired as number) >= 0 ? desired as number : null;
}
