/**
 * Asks for permits to send requests to endpoints that limit them, and issues those of the endpoints for which this
 * gateway is the issuer.
 *
 * Each limited endpoint has one issuer, chosen by a hash of its id. A gateway that cannot reach the issuer, or that sees
 * less than half of the gateways, keeps to its share (an equal one, or that of its requests), which is safe whatever the
 * others do.
 *
 * @module
 */
import type { Clock, EndpointId, Undo } from "@wisteriapick/core";
import { type PermitAnswer, type PermitAsk, PermitIssuer } from "@wisteriapick/policy";
import type { PermitRequest } from "@wisteriapick/wire";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { PeerGroup } from "./peer_group.ts";

/** A limit and the time since it was read from a response. */
export interface KnownLimit {
  readonly requestsPerSecond: number;
  readonly ageMs: number;
}

/** Options of {@link PermitExchange}. */
export interface PermitExchangeOptions {
  readonly network: PeerGroup;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Number of gateways that share limits, this one included. */
  readonly gatewayCount: () => number;
  /** Number by which a limit is divided without contact to its issuer; `gatewayCount` by default. */
  readonly divisor?: () => number;
  /** A peer that asks knows this limit of an endpoint. */
  readonly onLimit: (endpoint: EndpointId, limit: KnownLimit) => void;
  /** An ask of this gateway was answered. */
  readonly onAnswer: (endpoint: EndpointId, answer: Omit<PermitAnswer, "asker">) => void;
}

/** Time beyond the wait after which an ask counts as unanswered: many round trips. */
const ANSWER_MARGIN_MS = 150;
/** Time for which an issuer that did not answer is not asked. */
const ISSUER_PAUSE_MS = 2_000;
/**
 * Fraction of a share that is used without contact: the issuer may be slow rather than gone, and an endpoint
 * bears half as much again as it names.
 */
const SHARE_FRACTION = 0.5;
/** Retry delay given by a gateway that is not the issuer: its peers or it have not noticed a change of the links. */
const NOT_ISSUER_RETRY_MS = 200;

interface Issuer {
  readonly permits: PermitIssuer;
  stopTimer: Undo;
}

/** Asks for and issues permits. */
export class PermitExchange {
  readonly #options: PermitExchangeOptions;
  readonly #issuers = new Map<EndpointId, Issuer>();
  /** Shares of this gateway, used without contact to the issuer. */
  readonly #shares = new Map<EndpointId, PermitIssuer>();
  readonly #pending = new Map<EndpointId, { readonly issuer: string; readonly stopTimer: Undo }>();
  readonly #silentUntilMs = new Map<string, number>();
  readonly #issuerNames = new Map<
    EndpointId,
    { readonly version: number; readonly name: string }
  >();
  readonly #undos: Undo[];

  constructor(options: PermitExchangeOptions) {
    this.#options = options;
    const { network } = options;
    this.#undos = [
      network.registerHandler("permit_request", (peer, msg) => this.#onRequest(peer, msg)),
      network.registerHandler("permit_grant", (peer, { endpoint, count, retryInMs }) => {
        this.#onGrant(peer, endpoint, { count, retryInMs });
      }),
      network.registerDown((peer) => this.#onDown(peer)),
    ];
  }

  close(): void {
    for (const undo of this.#undos) undo();
    for (const { stopTimer } of this.#issuers.values()) stopTimer();
    for (const { stopTimer } of this.#pending.values()) stopTimer();
  }

  /** Asks for permits; `onAnswer` is called once, now or later. At most one ask for an endpoint may be open. */
  ask(endpoint: EndpointId, limit: KnownLimit, ask: Omit<PermitAsk, "asker">): void {
    const { network, clock } = this.#options;
    const issuer = this.#issuerOf(endpoint);
    if (!this.#hasContact(issuer)) return this.#useShare(endpoint, limit, ask);
    if (issuer === network.name) return this.#issue(endpoint, limit, { ...ask, asker: issuer });
    const stopTimer = clock.setTimer(ask.waitMs + ANSWER_MARGIN_MS, () => {
      this.#pending.delete(endpoint);
      this.#silentUntilMs.set(issuer, clock.now() + ISSUER_PAUSE_MS);
      this.#options.log.state("permit_issuer_silent", { issuer, endpoint });
      this.#useShare(endpoint, limit, { ...ask, waitMs: 0 });
    });
    this.#pending.set(endpoint, { issuer, stopTimer });
    if (network.send(issuer, { kind: "permit_request", endpoint, ...limit, ...ask })) return;
    stopTimer();
    this.#pending.delete(endpoint);
    this.#useShare(endpoint, limit, ask);
  }

  /** Forgets an endpoint that no longer names a limit. */
  forget(endpoint: EndpointId): void {
    this.#issuers.get(endpoint)?.stopTimer();
    this.#issuers.delete(endpoint);
    this.#shares.delete(endpoint);
    this.#issuerNames.delete(endpoint);
    this.#pending.get(endpoint)?.stopTimer();
    this.#pending.delete(endpoint);
  }

  #issuerOf(endpoint: EndpointId): string {
    const { network } = this.#options;
    const version = network.membershipVersion;
    let known = this.#issuerNames.get(endpoint);
    if (known?.version !== version) {
      known = { version, name: network.coordinatorOf(`permits/${endpoint}`) };
      this.#issuerNames.set(endpoint, known);
    }
    return known.name;
  }

  /** Whether the issuer answers, and most gateways would choose the same one. */
  #hasContact(issuer: string): boolean {
    const { network, clock, gatewayCount } = this.#options;
    if ((this.#silentUntilMs.get(issuer) ?? -Infinity) > clock.now()) return false;
    return 2 * (network.linked().length + 1) > gatewayCount();
  }

  #useShare(endpoint: EndpointId, limit: KnownLimit, ask: Omit<PermitAsk, "asker">): void {
    const { clock, gatewayCount, divisor = gatewayCount, network, onAnswer } = this.#options;
    const now = clock.now();
    const perSecond = SHARE_FRACTION * limit.requestsPerSecond / divisor();
    let share = this.#shares.get(endpoint);
    if (share === undefined) this.#shares.set(endpoint, share = new PermitIssuer(perSecond, now));
    share.setRate(perSecond, now);
    // A share gives no permits in advance, as each gateway would.
    const answer = share.ask({ ...ask, asker: network.name, isUrgent: false, waitMs: 0 }, now);
    if (answer !== null) onAnswer(endpoint, answer);
  }

  #onRequest(peer: string, msg: PermitRequest): void {
    const { network, onLimit } = this.#options;
    const { endpoint, requestsPerSecond, ageMs, count, rank, isUrgent, waitMs } = msg;
    onLimit(endpoint, { requestsPerSecond, ageMs });
    const issuer = this.#issuerOf(endpoint);
    if (issuer === network.name && this.#hasContact(issuer)) {
      const ask = { asker: peer, count, rank, isUrgent, waitMs };
      return this.#issue(endpoint, { requestsPerSecond, ageMs }, ask);
    }
    this.#answer(endpoint, { asker: peer, count: 0, retryInMs: NOT_ISSUER_RETRY_MS });
  }

  #issue(endpoint: EndpointId, { requestsPerSecond }: KnownLimit, ask: PermitAsk): void {
    const now = this.#options.clock.now();
    let issuer = this.#issuers.get(endpoint);
    if (issuer === undefined) {
      issuer = { permits: new PermitIssuer(requestsPerSecond, now), stopTimer: () => {} };
      this.#issuers.set(endpoint, issuer);
    }
    issuer.permits.setRate(requestsPerSecond, now);
    const answer = issuer.permits.ask(ask, now);
    if (answer !== null) this.#answer(endpoint, answer);
    this.#schedule(endpoint, issuer);
  }

  /** Arranges that queued asks are answered when it is their turn. */
  #schedule(endpoint: EndpointId, issuer: Issuer): void {
    issuer.stopTimer();
    const { clock } = this.#options;
    const dueInMs = issuer.permits.nextAnswerMs(clock.now());
    if (dueInMs === null) return;
    issuer.stopTimer = clock.setTimer(dueInMs, () => {
      for (const answer of issuer.permits.answers(clock.now())) this.#answer(endpoint, answer);
      this.#schedule(endpoint, issuer);
    });
  }

  #answer(endpoint: EndpointId, { asker, count, retryInMs }: PermitAnswer): void {
    const { network, onAnswer } = this.#options;
    if (asker === network.name) return onAnswer(endpoint, { count, retryInMs });
    network.send(asker, { kind: "permit_grant", endpoint, count, retryInMs });
  }

  #onGrant(
    peer: string,
    endpoint: EndpointId,
    answer: { readonly count: number; readonly retryInMs: number },
  ): void {
    const pending = this.#pending.get(endpoint);
    // An answer that comes too late is not used, so its permits are lost.
    if (pending?.issuer !== peer) return;
    pending.stopTimer();
    this.#pending.delete(endpoint);
    this.#options.onAnswer(endpoint, answer);
  }

  /** Ends the asks that a lost issuer will not answer. */
  #onDown(peer: string): void {
    this.#silentUntilMs.delete(peer);
    for (const [endpoint, { issuer, stopTimer }] of [...this.#pending]) {
      if (issuer !== peer) continue;
      stopTimer();
      this.#pending.delete(endpoint);
      this.#options.onAnswer(endpoint, { count: 0, retryInMs: NOT_ISSUER_RETRY_MS });
    }
  }
}
