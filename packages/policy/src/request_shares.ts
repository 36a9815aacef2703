/**
 * Divides what all gateways have together in proportion to the requests that each of them gets. Load pattern: gateways
 * differ in processor, memory and link by a factor of 7, the balancer sends them as different shares of the requests,
 * and equal parts leave most of the retry budget with gateways that hardly need it.
 *
 * One gateway grants the shares of all as leases. At any time the shares that were in force within the last window of
 * the budgets add up to the whole at most: a share that is lowered is given to others only after its window has passed.
 * A gateway that does not report keeps an equal share, and that much is left for it.
 *
 * @module
 */

/** Options of {@link ShareLedger}. */
export interface ShareLedgerOptions {
  /** Time for which a grant may be used, in milliseconds. */
  readonly leaseMs: number;
  /** Length of the longest window in which a share is used up, in milliseconds. */
  readonly windowMs: number;
}

/** What a gateway reports. */
export interface ShareReport {
  readonly gateway: string;
  readonly requestsPerSecond: number;
}

/** A share of the whole. */
export interface ShareGrant {
  /** Between 0 and 1. */
  readonly share: number;
  /**
   * Whether another gateway may have granted shares until a moment ago, so that the share counts only where it is
   * smaller than what its receiver may use without it.
   */
  readonly isProvisional: boolean;
}

/** Time that is added to the window: requests arrive up to this long after their share was asked for. */
const WINDOW_MARGIN_MS = 1_000;
/** Part of the mean rate that is added to each rate, so that a gateway without requests has a share for its first ones. */
const PRIOR = 0.1;
/** Changes within this factor are not followed, as each one leaves part of the whole unused for a window. */
const MIN_CHANGE = 1.25;

/** A share that was granted, and until when it may be in use within a window. */
interface HeldShare {
  readonly share: number;
  readonly untilMs: number;
}

interface Holder {
  requestsPerSecond: number;
  reportedAtMs: number;
  granted: number | null;
  held: HeldShare[];
}

/**
 * Time for which a share that was in use once may still count in a window, in milliseconds, from the grant on.
 */
export function shareHoldMs({ leaseMs, windowMs }: ShareLedgerOptions): number {
  return leaseMs + windowMs + WINDOW_MARGIN_MS;
}

/**
 * The shares that one gateway has granted.
 *
 * @example
 * ```ts
 * const ledger = new ShareLedger({ leaseMs: 2_000, windowMs: 10_000 });
 * const { share } = ledger.report({ gateway, requestsPerSecond }, { nowMs, gatewayCount: 29 });
 * ```
 */
export class ShareLedger {
  readonly #options: ShareLedgerOptions;
  readonly #holders = new Map<string, Holder>();
  /** Since when more than half of the gateways report here without a break; `null` if they do not. */
  #quorumSinceMs: number | null = null;

  constructor(options: ShareLedgerOptions) {
    this.#options = options;
  }

  /** Grants a share to a gateway that reports; `null` while less than half of the gateways report here. */
  report(
    { gateway, requestsPerSecond }: ShareReport,
    { nowMs, gatewayCount }: { readonly nowMs: number; readonly gatewayCount: number },
  ): ShareGrant | null {
    const equalShare = 1 / gatewayCount;
    // Whether a break has ended the quorum shows before this report is counted.
    if (this.#quorumSinceMs !== null && !this.#hasQuorum(gatewayCount, nowMs)) {
      this.#quorumSinceMs = null;
    }
    const holder = this.#recordReport(gateway, requestsPerSecond, nowMs);
    this.#forget(nowMs);
    if (!this.#hasQuorum(gatewayCount, nowMs)) {
      this.#hold(holder, equalShare, nowMs);
      holder.granted = null;
      return null;
    }
    this.#quorumSinceMs ??= nowMs;
    const isProvisional = nowMs - this.#quorumSinceMs < shareHoldMs(this.#options);
    // Until its first grant, a gateway has used an equal share.
    if (holder.granted === null) this.#hold(holder, equalShare, nowMs);
    const reporters = this.#reporters(nowMs);
    const whole = Math.min(1, reporters.length / gatewayCount);
    const target = whole * this.#targetOf(holder, reporters);
    const wanted = isProvisional ? Math.min(target, equalShare) : target;
    const share = this.#grantable(holder, wanted, { nowMs, whole, equalShare });
    holder.granted = share;
    this.#hold(holder, share, nowMs);
    return { share, isProvisional };
  }

  /** Sum of the shares that may count in a window now, for tests and metrics. */
  heldSum(nowMs: number): number {
    let sum = 0;
    for (const holder of this.#holders.values()) sum += heldBy(holder, nowMs);
    return sum;
  }

  #recordReport(gateway: string, requestsPerSecond: number, nowMs: number): Holder {
    let holder = this.#holders.get(gateway);
    if (holder === undefined) {
      holder = { requestsPerSecond, reportedAtMs: nowMs, granted: null, held: [] };
      this.#holders.set(gateway, holder);
    }
    // A gateway that was silent for longer than its lease has used what it may use without one.
    if (nowMs - holder.reportedAtMs > this.#options.leaseMs) holder.granted = null;
    holder.requestsPerSecond = requestsPerSecond;
    holder.reportedAtMs = nowMs;
    return holder;
  }

  #grantable(
    holder: Holder,
    wanted: number,
    { nowMs, whole, equalShare }: {
      readonly nowMs: number;
      readonly whole: number;
      readonly equalShare: number;
    },
  ): number {
    const { granted } = holder;
    const isMinor = granted !== null && wanted <= granted * MIN_CHANGE &&
      wanted >= granted / MIN_CHANGE;
    const desired = isMinor ? granted : wanted;
    const room = whole - (this.heldSum(nowMs) - heldBy(holder, nowMs));
    // What a gateway has may be granted once more, as it counts in the window already.
    return Math.min(desired, Math.max(0, room, Math.min(granted ?? equalShare, wanted)));
  }

  #targetOf({ requestsPerSecond }: Holder, reporters: readonly Holder[]): number {
    const total = reporters.reduce((sum, r) => sum + r.requestsPerSecond, 0);
    if (total <= 0) return 1 / reporters.length;
    const prior = PRIOR * total / reporters.length;
    return (requestsPerSecond + prior) / ((1 + PRIOR) * total);
  }

  #hold(holder: Holder, share: number, nowMs: number): void {
    const untilMs = nowMs + shareHoldMs(this.#options);
    // Smaller shares that end earlier no longer matter.
    holder.held = holder.held.filter((h) => h.share > share);
    holder.held.push({ share, untilMs });
  }

  #reporters(nowMs: number): Holder[] {
    return [...this.#holders.values()].filter((h) =>
      nowMs - h.reportedAtMs <= this.#options.leaseMs
    );
  }

  #hasQuorum(gatewayCount: number, nowMs: number): boolean {
    return 2 * this.#reporters(nowMs).length > gatewayCount;
  }

  #forget(nowMs: number): void {
    for (const [name, holder] of this.#holders) {
      holder.held = holder.held.filter((h) => h.untilMs > nowMs);
      if (holder.held.length === 0 && nowMs - holder.reportedAtMs > this.#options.leaseMs) {
        this.#holders.delete(name);
      }
    }
  }
}

function heldBy({ held }: Holder, nowMs: number): number {
  return held.reduce((max, h) => (h.untilMs > nowMs ? Math.max(max, h.share) : max), 0);
}

/**
 * The share that one gateway may use: the one that it was granted or, without a lease, an equal one.
 *
 * @example
 * ```ts
 * const lease = new ShareLease({ leaseMs: 2_000, windowMs: 10_000 });
 * lease.accept(grant, { askedAtMs, gatewayCount });
 * const share = lease.share(nowMs, gatewayCount);
 * ```
 */
export class ShareLease {
  readonly #options: ShareLedgerOptions;
  #granted: { readonly share: number; readonly untilMs: number } | null = null;

  constructor(options: ShareLedgerOptions) {
    this.#options = options;
  }

  /** Takes a grant that was asked for at `askedAtMs`, from which on its time counts. */
  accept(
    { share, isProvisional }: ShareGrant,
    { askedAtMs, gatewayCount }: { readonly askedAtMs: number; readonly gatewayCount: number },
  ): void {
    const own = this.share(askedAtMs, gatewayCount);
    const usable = isProvisional ? Math.min(share, own) : share;
    this.#granted = { share: usable, untilMs: askedAtMs + this.#options.leaseMs };
  }

  /** Whether a granted share is in force. */
  isLeased(nowMs: number): boolean {
    return this.#granted !== null && nowMs < this.#granted.untilMs;
  }

  /** The share that may be used now. */
  share(nowMs: number, gatewayCount: number): number {
    const equalShare = 1 / Math.max(1, gatewayCount);
    if (this.#granted === null) return equalShare;
    const { share, untilMs } = this.#granted;
    if (nowMs < untilMs) return share;
    // Others may use the rest of an equal share until they know that this gateway no longer reports.
    const isForgotten = nowMs >= untilMs + this.#options.leaseMs + shareHoldMs(this.#options);
    return isForgotten ? equalShare : Math.min(share, equalShare);
  }
}
