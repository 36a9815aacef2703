/**
 * Keeps the requests of all gateways to an endpoint within the limit that it names in its responses.
 *
 * A request to a limited endpoint needs a permit. One that has none goes to another endpoint, waits for a short time or
 * is refused; the permits are issued by one gateway for each endpoint.
 *
 * @module
 */
import type { Clock, EndpointId, Undo } from "@wisteriapick/core";
import type { EndpointLimit } from "@wisteriapick/wire";
import type { EndpointRecord } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import type { PeerGroup } from "../peers/peer_group.ts";
import { type KnownLimit, PermitExchange } from "../peers/permit_exchange.ts";
import { TreeBroadcast } from "../peers/tree_broadcast.ts";
import type { EndpointChange, Fleet } from "../state/fleet.ts";

/** Options of {@link EndpointLimits}. */
export interface EndpointLimitsOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Reports endpoints that restart or are gone, whose limits are forgotten. */
  readonly fleet: Pick<Fleet, "registerEndpointListener">;
  /** Number of gateways that share limits, this one included. */
  readonly gatewayCount: () => number;
  /** Number by which a limit is divided without contact to its issuer; `gatewayCount` by default. */
  readonly divisor?: () => number;
}

/** What a response says of its endpoint's limit. */
export interface LimitNotice {
  /** When the request was sent, so that a response that was overtaken does not end a limit. */
  readonly sentAtMs: number;
  /** Requests per second from all gateways together; `null` if the response names no limit. */
  readonly requestsPerSecond: number | null;
}

/** A request that needs a permit. */
export interface PermitNeed {
  /** Rank of the request; 0 comes first. */
  readonly rank: number;
  /** Whether a run that has begun needs the permit to go on. */
  readonly isUrgent?: boolean;
  /** Time for which the request can wait, in milliseconds. */
  readonly waitMs: number;
}

/** A limit in force. */
interface Limit {
  requestsPerSecond: number;
  /** When it was last named. */
  namedAtMs: number;
  /** Permits that this gateway holds, by the time at which each expires. */
  permits: number[];
  /** Requests that want a permit since the last ask, and whether that is still open. */
  wanted: number;
  isAsking: boolean;
  /** Time before which an ask is useless. */
  retryAtMs: number;
}

interface Listener {
  readonly rank: number;
  readonly fn: (endpoint: EndpointId) => void;
}

/** Protocol version from which on gateways understand limits. */
const SINCE_VERSION = 3;
/** Time for which a permit can be used, in milliseconds; an unused one is lost to all. */
const PERMIT_TTL_MS = 500;
/** Largest number of permits in one ask. */
const MAX_ASKED = 8;
/** Largest number of asks in a second, for all endpoints together. */
const MAX_ASKS_PER_SECOND = 100;
/** Largest change of a limit, as a fraction, that is not announced; asks contain the present value. */
const MINOR_CHANGE = 0.2;
/** Time after which an unused limit is forgotten, in milliseconds. */
const FORGET_AFTER_MS = 600_000;

/** Knows which endpoints are limited, and holds this gateway's permits. */
export class EndpointLimits {
  readonly #options: EndpointLimitsOptions;
  readonly #limits = new Map<EndpointId, Limit>();
  readonly #undos: Undo[] = [];
  #listeners: readonly Listener[] = [];
  #exchange: PermitExchange | null = null;
  #broadcast: TreeBroadcast | null = null;
  #network: PeerGroup | null = null;
  #isInRequest = false;
  #asks = 0;
  #asksSinceMs = -Infinity;

  constructor(options: EndpointLimitsOptions) {
    this.#options = options;
    this.#undos.push(
      options.fleet.registerEndpointListener((change) => this.#onEndpointChange(change)),
    );
  }

  /** Whether one request may be sent to an endpoint now. */
  mayTake(endpoint: EndpointId): boolean {
    if (this.#limits.size === 0) return true;
    const limit = this.#limits.get(endpoint);
    return limit === undefined || this.#permitsOf(limit).length > 0;
  }

  /** Whether an ask for a permit for an endpoint is open. */
  isAsking(endpoint: EndpointId): boolean {
    return this.#limits.get(endpoint)?.isAsking ?? false;
  }

  /** Whether it is worth to ask for a permit for a limited endpoint now. */
  mayAsk(endpoint: EndpointId): boolean {
    const limit = this.#limits.get(endpoint);
    return limit !== undefined && !limit.isAsking && this.#options.clock.now() >= limit.retryAtMs;
  }

  /** Records that a request is being sent to an endpoint, which uses up a permit. */
  take(endpoint: EndpointId): void {
    const limit = this.#limits.get(endpoint);
    if (limit === undefined) return;
    const hasPermit = this.#permitsOf(limit).shift() !== undefined;
    this.#options.metrics.countPermit(hasPermit ? "used" : "missing");
    if (!hasPermit) this.#options.log.request("permit_missing", { endpoint });
  }

  /** Asks for a permit for an endpoint, unless an ask is open or useless. */
  request(endpoint: EndpointId, { rank, isUrgent = false, waitMs }: PermitNeed): void {
    const limit = this.#limits.get(endpoint);
    if (limit === undefined) return;
    limit.wanted++;
    const now = this.#options.clock.now();
    if (limit.isAsking || (now < limit.retryAtMs && !isUrgent) || !this.#takeAsk(now)) return;
    const count = Math.min(MAX_ASKED, limit.wanted);
    limit.wanted = 0;
    limit.isAsking = true;
    const { requestsPerSecond, namedAtMs } = limit;
    const known = { requestsPerSecond, ageMs: now - namedAtMs };
    const ask = { count, rank, isUrgent, waitMs: Math.max(0, Math.round(waitMs)) };
    this.#isInRequest = true;
    try {
      this.#exchange?.ask(endpoint, known, ask);
    } catch (e) {
      limit.isAsking = false;
      throw e;
    } finally {
      this.#isInRequest = false;
    }
  }

  /** Whether one more ask is within the bound of this second. */
  #takeAsk(now: number): boolean {
    if (now - this.#asksSinceMs >= 1_000) {
      this.#asksSinceMs = now;
      this.#asks = 0;
    }
    return this.#asks++ < MAX_ASKS_PER_SECOND;
  }

  /** Time until a permit for one of the endpoints can be there, in milliseconds; 0 if it may be there at any moment. */
  expectedWaitMs(endpoints: readonly EndpointId[]): number {
    const now = this.#options.clock.now();
    const waits = endpoints.map((endpoint) => {
      const limit = this.#limits.get(endpoint);
      return limit === undefined || limit.isAsking ? 0 : Math.max(0, limit.retryAtMs - now);
    });
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  /** Waits for a permit for one endpoint. Resolves to whether a request may be sent at that moment. */
  async acquire(endpoint: EndpointId, need: PermitNeed): Promise<boolean> {
    if (this.mayTake(endpoint)) return true;
    const { clock } = this.#options;
    const endsAtMs = clock.now() + need.waitMs;
    while (!this.mayTake(endpoint)) {
      const waitMs = endsAtMs - clock.now();
      if (waitMs <= 0) return false;
      this.request(endpoint, { ...need, waitMs });
      if (!this.mayTake(endpoint)) await this.#answerOf(endpoint, need.rank, waitMs);
    }
    return true;
  }

  /** Calls `fn` when a permit may have come for an endpoint, or none is needed; for better ranks first. */
  registerListener(rank: number, fn: (endpoint: EndpointId) => void): Undo {
    const listener = { rank, fn };
    this.#listeners = [...this.#listeners, listener].sort((a, b) => a.rank - b.rank);
    return () => {
      this.#listeners = this.#listeners.filter((l) => l !== listener);
    };
  }

  /** Records what a response of an endpoint says. */
  recordResponse({ id }: EndpointRecord, { sentAtMs, requestsPerSecond }: LimitNotice): void {
    if (requestsPerSecond === null) {
      const known = this.#limits.get(id);
      if (known !== undefined && sentAtMs > known.namedAtMs) this.#end(id, "named no longer", true);
      return;
    }
    this.#set(id, { requestsPerSecond, ageMs: 0 }, true);
  }

  /** Shares limits and permits with all gateways until the returned function is called. */
  share(network: PeerGroup): Undo {
    const { clock, log, gatewayCount, divisor } = this.#options;
    this.#network = network;
    this.#broadcast = new TreeBroadcast({
      network,
      clock,
      log,
      subject: "endpoint_limits",
      sinceVersion: SINCE_VERSION,
    });
    this.#exchange = new PermitExchange({
      network,
      clock,
      log,
      gatewayCount,
      divisor,
      onLimit: (endpoint, limit) => this.#set(endpoint, limit, false),
      onAnswer: (endpoint, { count, retryInMs }) => this.#onAnswer(endpoint, count, retryInMs),
    });
    this.#undos.push(
      network.registerHandler("endpoint_limit", (_peer, msg) => this.#onAnnounced(msg)),
      () => this.#exchange?.close(),
    );
    return () => {
      for (const undo of this.#undos) undo();
    };
  }

  #onAnnounced(msg: EndpointLimit): void {
    const { endpoint, requestsPerSecond, ageMs, hops } = msg;
    const known = this.#limits.get(endpoint);
    const readAtMs = this.#options.clock.now() - ageMs;
    if (known !== undefined && readAtMs < known.namedAtMs) return;
    if (requestsPerSecond === null) this.#end(endpoint, "announced by a peer", false);
    else this.#set(endpoint, { requestsPerSecond, ageMs }, false);
    this.#broadcast?.send({ ...msg, hops: hops + 1 });
  }

  #set(endpoint: EndpointId, { requestsPerSecond, ageMs }: KnownLimit, isOwn: boolean): void {
    const now = this.#options.clock.now();
    const limit = this.#limits.get(endpoint);
    if (limit !== undefined && now - ageMs < limit.namedAtMs) return;
    const from = limit?.requestsPerSecond ?? null;
    if (limit === undefined) {
      this.#limits.set(endpoint, {
        requestsPerSecond,
        namedAtMs: now - ageMs,
        permits: [],
        wanted: 0,
        isAsking: false,
        retryAtMs: -Infinity,
      });
    } else {
      limit.requestsPerSecond = requestsPerSecond;
      limit.namedAtMs = now - ageMs;
      // Permits of a higher rate are too many for the present one.
      if (requestsPerSecond < from! * (1 - MINOR_CHANGE)) limit.permits = [];
    }
    if (from !== null && Math.abs(requestsPerSecond - from) <= MINOR_CHANGE * from) return;
    this.#logChange(endpoint, { from, to: requestsPerSecond, isOwn });
    if (isOwn) this.#announce(endpoint, requestsPerSecond);
  }

  #end(endpoint: EndpointId, reason: string, isOwn: boolean): void {
    const limit = this.#limits.get(endpoint);
    if (limit === undefined) return;
    this.#limits.delete(endpoint);
    this.#exchange?.forget(endpoint);
    this.#logChange(endpoint, { from: limit.requestsPerSecond, to: null, isOwn, reason });
    if (isOwn) this.#announce(endpoint, null);
    this.#notify(endpoint);
  }

  #announce(endpoint: EndpointId, requestsPerSecond: number | null): void {
    const origin = this.#network?.name;
    if (origin === undefined) return;
    const msg = { kind: "endpoint_limit" as const, origin, hops: 0, endpoint, requestsPerSecond };
    this.#broadcast?.send({ ...msg, ageMs: 0 });
  }

  #onAnswer(endpoint: EndpointId, granted: number, retryInMs: number): void {
    const limit = this.#limits.get(endpoint);
    if (limit === undefined) return;
    const count = Math.min(MAX_ASKED, granted);
    const now = this.#options.clock.now();
    limit.isAsking = false;
    limit.retryAtMs = now + retryInMs;
    for (let i = 0; i < count; i++) limit.permits.push(now + PERMIT_TTL_MS);
    this.#options.metrics.countPermit(count > 0 ? "granted" : "refused", Math.max(1, count));
    // Whoever asks looks for the permit itself; others hear of it afterwards.
    if (this.#isInRequest) this.#options.clock.setTimer(0, () => this.#notify(endpoint));
    else this.#notify(endpoint);
  }

  #answerOf(endpoint: EndpointId, rank: number, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const undos: Undo[] = [];
      const finish = () => {
        for (const undo of undos) undo();
        resolve();
      };
      undos.push(
        this.registerListener(rank, (changed) => {
          if (changed === endpoint) finish();
        }),
        this.#options.clock.setTimer(Math.min(waitMs, PERMIT_TTL_MS / 2), finish),
      );
    });
  }

  /** Tells those that wait, in the order of their ranks. */
  #notify(endpoint: EndpointId): void {
    for (const { fn } of this.#listeners) fn(endpoint);
  }

  #permitsOf(limit: Limit): number[] {
    const now = this.#options.clock.now();
    while (limit.permits.length > 0 && limit.permits[0]! <= now) limit.permits.shift();
    return limit.permits;
  }

  #onEndpointChange({ id, after, restarted }: EndpointChange): void {
    if (after === null || restarted) this.#end(id, after === null ? "gone" : "restarted", false);
    const oldest = this.#options.clock.now() - FORGET_AFTER_MS;
    for (const [endpoint, { namedAtMs }] of [...this.#limits]) {
      if (namedAtMs < oldest) this.#end(endpoint, "not heard of for long", false);
    }
  }

  #logChange(endpoint: EndpointId, fields: Record<string, unknown>): void {
    this.#options.log.state("endpoint_limit", { endpoint, ...fields });
    this.#options.metrics.setLimitedEndpoints(this.#limits.size);
  }
}
