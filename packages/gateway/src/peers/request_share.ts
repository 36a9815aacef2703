/**
 * Tells one gateway how many requests this one gets, and learns from it the share of the common budgets that this gateway
 * may use, and its share of the requests.
 *
 * Each gateway sends one report in each interval and gets one answer. The interval grows with the number of gateways, so
 * that the one that answers gets a bounded number of reports a second.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";
import { ShareLease, ShareLedger } from "@wisteriapick/policy";
import type { RequestShareGrant, RequestShareReport } from "@wisteriapick/wire";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { PeerGroup } from "./peer_group.ts";

/** Options of {@link RequestShare}. */
export interface RequestShareOptions {
  readonly network: PeerGroup;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Longest window in which a share is used up, in milliseconds. */
  readonly windowMs: number;
  /** Number of gateways that may be using shares, this one included; `null` while it is unknown. */
  readonly gatewayCount: () => number | null;
}

/** Protocol version from which on gateways understand the messages. */
const SINCE_VERSION = 6;
const MIN_INTERVAL_MS = 500;
/** Reports a second that the gateway which answers them is to get at most. */
const REPORTS_PER_SECOND = 50;
/** Grants end after this long: four reports may be lost or late, also with a few dozen gateways. */
const LEASE_MS = 2_500;
/** Gateways from which on the interval of reports is too long for the lease. */
const MAX_GATEWAYS = REPORTS_PER_SECOND * LEASE_MS / 2_000;
/** Time over which requests are averaged, in milliseconds: long streams and orders come in bursts of about a second. */
const RATE_TIME_MS = 5_000;
/** Age from which on a total of requests is not used, in milliseconds. */
const MAX_TOTAL_AGE_MS = 5_000;
/** Largest number of times that a gateway takes its requests to be fewer than the mean, as a rate near zero says little. */
const MAX_BELOW_MEAN = 8;

/** Requests that one gateway has reported. */
interface ReportedRate {
  readonly atMs: number;
  readonly perSecond: number;
}

/** Exchanges reports and grants of shares. */
export class RequestShare {
  readonly #options: RequestShareOptions;
  readonly #ledger: ShareLedger;
  readonly #lease: ShareLease;
  readonly #undos: Undo[];
  /** What gateways have reported to this one. */
  readonly #reported = new Map<string, ReportedRate>();
  /** Inverse of this gateway's share of the requests, as last learned. */
  #inverse: { readonly atMs: number; readonly value: number } | null = null;
  #requests = 0;
  #requestsPerSecond = 0;
  #seq = 0;
  #sent: { readonly seq: number; readonly atMs: number; readonly perSecond: number } | null = null;
  #grantor: string | null = null;
  #reportedAtMs = -Infinity;
  #countedSinceMs: number;
  #loggedShare = 0;

  constructor(options: RequestShareOptions) {
    this.#options = options;
    const { network, windowMs, clock } = options;
    const limits = { leaseMs: LEASE_MS, windowMs };
    this.#ledger = new ShareLedger(limits);
    this.#lease = new ShareLease(limits);
    this.#countedSinceMs = clock.now();
    this.#undos = [
      network.registerHandler("request_share_report", (peer, msg) => this.#onReport(peer, msg)),
      network.registerHandler("request_share_grant", (peer, msg) => this.#onGrant(peer, msg)),
    ];
  }

  close(): void {
    for (const undo of this.#undos) undo();
  }

  /** Records a request of a caller. */
  recordRequest(): void {
    this.#requests++;
  }

  /**
   * The number by which this gateway divides what all gateways have together: the inverse of its share. `null` while it
   * is not known how many gateways there are.
   */
  divisor(): number | null {
    const gatewayCount = this.#options.gatewayCount();
    if (gatewayCount === null) return null;
    const share = this.#lease.share(this.#options.clock.now(), gatewayCount);
    return share > 0 ? 1 / share : Infinity;
  }

  /**
   * Requests of all gateways for each one of this gateway, for estimates of what all of them do; `null` while that is not
   * known. It may add up to more or less than the whole, unlike {@link divisor}.
   */
  requestsForEachOwn(): number | null {
    const inverse = this.#inverse;
    if (inverse === null || this.#options.clock.now() - inverse.atMs > MAX_TOTAL_AGE_MS) {
      return null;
    }
    return inverse.value;
  }

  /** Sends the report that is due. Called each tick. */
  tick(): void {
    const now = this.#options.clock.now();
    const gatewayCount = this.#options.gatewayCount();
    if (gatewayCount === null || gatewayCount > MAX_GATEWAYS) return;
    const intervalMs = Math.max(MIN_INTERVAL_MS, gatewayCount * 1_000 / REPORTS_PER_SECOND);
    if (now - this.#countedSinceMs < intervalMs) return;
    this.#updateRate(now);
    this.#report(now, gatewayCount);
  }

  #report(now: number, gatewayCount: number): void {
    const { network } = this.#options;
    const order = network.orderOf("request_shares", (p) => p.protocolVersion >= SINCE_VERSION);
    const grantor = order[0] ?? network.name;
    // Whoever granted before must not count this gateway any more, so that two never have more than half of all.
    if (grantor !== this.#grantor && now - this.#reportedAtMs < 2 * LEASE_MS) return;
    this.#grantor = grantor;
    this.#reportedAtMs = now;
    const report = { seq: ++this.#seq, requestsPerSecond: this.#requestsPerSecond };
    this.#sent = { seq: report.seq, atMs: now, perSecond: report.requestsPerSecond };
    if (grantor !== network.name) {
      network.send(grantor, { kind: "request_share_report", ...report });
      return;
    }
    this.#onAnswer(this.#answer(network.name, report, gatewayCount));
  }

  #onReport(peer: string, report: RequestShareReport): void {
    const { network, gatewayCount } = this.#options;
    const count = gatewayCount();
    if (count === null) return;
    network.send(peer, { kind: "request_share_grant", ...this.#answer(peer, report, count) });
  }

  /** Counts a report, and grants the share of its sender. */
  #answer(
    gateway: string,
    { seq, requestsPerSecond }: Omit<RequestShareReport, "kind">,
    gatewayCount: number,
  ): Omit<RequestShareGrant, "kind"> {
    const nowMs = this.#options.clock.now();
    const perSecond = Math.max(0, requestsPerSecond);
    this.#reported.set(gateway, { atMs: nowMs, perSecond });
    const report = { gateway, requestsPerSecond: perSecond };
    const grant = this.#ledger.report(report, { nowMs, gatewayCount });
    return {
      seq,
      share: grant?.share ?? null,
      isProvisional: grant?.isProvisional ?? false,
      totalPerSecond: this.#totalPerSecond(nowMs),
    };
  }

  /** Requests per second of all gateways that have reported lately. */
  #totalPerSecond(nowMs: number): number {
    let total = 0;
    for (const [gateway, { atMs, perSecond }] of this.#reported) {
      if (nowMs - atMs > LEASE_MS) this.#reported.delete(gateway);
      else total += perSecond;
    }
    return total;
  }

  #onGrant(peer: string, grant: RequestShareGrant): void {
    if (peer === this.#grantor) this.#onAnswer(grant);
  }

  #onAnswer({ seq, share, isProvisional, totalPerSecond }: Omit<RequestShareGrant, "kind">): void {
    const sent = this.#sent;
    if (sent === null || sent.seq !== seq) return;
    this.#sent = null;
    const gatewayCount = this.#options.gatewayCount();
    if (gatewayCount === null) return;
    if (share !== null) this.#recordInverse(sent, totalPerSecond, gatewayCount);
    if (share === null || share < 0 || share > 1) return;
    this.#lease.accept({ share, isProvisional }, { askedAtMs: sent.atMs, gatewayCount });
    this.#logShare(gatewayCount);
  }

  #recordInverse(
    { atMs, perSecond }: { readonly atMs: number; readonly perSecond: number },
    totalPerSecond: number,
    gatewayCount: number,
  ): void {
    if (totalPerSecond <= 0) return;
    const largest = MAX_BELOW_MEAN * gatewayCount;
    const value = Math.min(largest, Math.max(1, totalPerSecond / Math.max(perSecond, 1e-9)));
    this.#inverse = { atMs, value };
  }

  #logShare(gatewayCount: number): void {
    const { clock, log } = this.#options;
    const share = this.#lease.share(clock.now(), gatewayCount);
    if (share < 1.5 * this.#loggedShare && share > this.#loggedShare / 1.5) return;
    this.#loggedShare = share;
    log.state("request_share", {
      share: Number(share.toFixed(4)),
      gateways: gatewayCount,
      grantor: this.#grantor,
      requestsPerSecond: Number(this.#requestsPerSecond.toFixed(1)),
    });
  }

  #updateRate(now: number): void {
    const elapsedMs = now - this.#countedSinceMs;
    const weight = 1 - Math.exp(-elapsedMs / RATE_TIME_MS);
    const rate = this.#requests * 1_000 / elapsedMs;
    this.#requestsPerSecond += weight * (rate - this.#requestsPerSecond);
    this.#requests = 0;
    this.#countedSinceMs = now;
  }
}
