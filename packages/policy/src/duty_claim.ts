/**
 * Decides when a gateway may perform a duty that one gateway performs at a time. Load pattern: holders that are suspended,
 * cut off or slow, several candidates for one duty, and a store that is restored from a copy.
 *
 * @module
 */

/** Where an object of the store stands; `revision` is `null` if there is none. */
export interface ClaimPosition {
  readonly era: number;
  readonly revision: number | null;
}

/** Who performs a duty, as stored. */
export interface DutyHolder {
  readonly gateway: string;
  /** Distinguishes the processes that run under one name. */
  readonly instance: string;
  /** Number that rises when the holder changes. */
  readonly token: number;
}

/** Two readings of the time, in milliseconds. */
export interface ClaimTime {
  /**
   * Monotonic clock that never runs ahead. Time for which another gateway is observed is measured on it, so that no gateway
   * takes over early.
   */
  readonly monotonicMs: number;
  /** Clock that includes suspensions and may run ahead. A holder measures its own time on it, so that it ends early. */
  readonly elapsedMs: number;
}

/** Options of {@link DutyClaim}. */
export interface DutyClaimOptions {
  readonly gateway: string;
  readonly instance: string;
  readonly leaseMs: number;
}

/** What a gateway has to do before it performs the duty. */
export type ClaimStep =
  /** Read the object. */
  | { readonly type: "read" }
  /** Write the object at `position` with `token`. */
  | { readonly type: "write"; readonly position: ClaimPosition; readonly token: number }
  | { readonly type: "wait" };

interface Observation {
  readonly position: ClaimPosition;
  readonly holder: DutyHolder | null;
  /** Monotonic time at which the object was first known to be there. */
  readonly sinceMs: number;
}

/** Share of the lease by which a holder ends early and a successor waits longer, as clocks run at different rates. */
const LEASE_MARGIN = 0.1;
/** Tokens of one era of the store are below those of the next one. */
const TOKENS_PER_ERA = 2 ** 32;

/**
 * The next token, which is above all tokens that were issued before, also those that the store has lost. It follows the
 * revision, as revisions rise within an era, and only one write succeeds at each: a write of an earlier era, which may be
 * applied at a revision that is given out again, can overwrite the greatest token.
 */
export function nextToken(previous: number, { era, revision }: ClaimPosition): number {
  return Math.max(previous, era * TOKENS_PER_ERA + (revision ?? 0)) + 1;
}

/** The store's era in which a token was issued. */
export function eraOfToken(token: number): number {
  return Math.floor(token / TOKENS_PER_ERA);
}

/**
 * One gateway's claim to a duty. The store accepts a write only at the revision that was read, so that a write which
 * succeeds proves that the object was not changed since then.
 *
 * @example
 * ```ts
 * const step = claim.next({ dueAtMs, time });
 * if (step.type === "write") await store.writeDuty(name, record(step.token), step.position);
 * ```
 */
export class DutyClaim {
  readonly #options: DutyClaimOptions;
  #seen: Observation | null = null;
  /** The greatest token that was seen, which an object that was deleted no longer shows. */
  #greatestToken = 0;
  /** Reading of the elapsed clock until which this gateway may make calls. */
  #callsEndAtMs = -Infinity;

  constructor(options: DutyClaimOptions) {
    this.#options = options;
  }

  /** The holder as last seen; `null` if there is none or nothing is known. */
  get holder(): DutyHolder | null {
    return this.#seen?.holder ?? null;
  }

  /** Where the object was last seen; `null` if it was not. */
  get position(): ClaimPosition | null {
    return this.#seen?.position ?? null;
  }

  /** Whether this process is the holder as far as it knows, whether or not it may make calls now. */
  get isHolder(): boolean {
    const { holder, position } = this.#seen ?? {};
    return holder?.instance === this.#options.instance &&
      eraOfToken(holder.token) === position?.era;
  }

  /** Time for which this gateway may make calls, in milliseconds; 0 if it may not. */
  callsEndInMs(elapsedMs: number): number {
    return this.isHolder ? Math.max(0, this.#callsEndAtMs - elapsedMs) : 0;
  }

  /** Records what a read has shown, at the time when its response arrived. */
  recordRead(position: ClaimPosition, holder: DutyHolder | null, monotonicMs: number): void {
    const known = this.#seen?.position;
    if (known?.era === position.era && known.revision === position.revision) return;
    this.#seen = { position, holder, sinceMs: monotonicMs };
    this.#greatestToken = Math.max(this.#greatestToken, holder?.token ?? 0);
    this.#callsEndAtMs = -Infinity;
  }

  /** Records that this gateway's write succeeded. `begunAt` is when it was begun. */
  recordWritten(position: ClaimPosition, token: number, begunAt: ClaimTime): void {
    const { gateway, instance, leaseMs } = this.#options;
    const holder = { gateway, instance, token };
    this.#seen = { position, holder, sinceMs: begunAt.monotonicMs };
    this.#greatestToken = Math.max(this.#greatestToken, token);
    this.#callsEndAtMs = begunAt.elapsedMs + leaseMs * (1 - LEASE_MARGIN);
  }

  /** Records that the object may have changed, so that it must be read before anything else. */
  recordUnknown(): void {
    this.#seen = null;
    this.#callsEndAtMs = -Infinity;
  }

  /**
   * What to do to perform the duty, which was due at `dueAtMs` of the monotonic clock. A successor waits for the lease after
   * the later of that time and of its first sight of the object, and for `patienceMs` in addition.
   */
  next(
    { dueAtMs, patienceMs, monotonicMs }: {
      readonly dueAtMs: number;
      readonly patienceMs: number;
      readonly monotonicMs: number;
    },
  ): ClaimStep {
    const seen = this.#seen;
    if (seen === null) return { type: "read" };
    const { position, holder } = seen;
    if (this.isHolder) return { type: "write", position, token: holder!.token };
    const waitMs = this.#options.leaseMs * (1 + LEASE_MARGIN) + patienceMs;
    if (monotonicMs < Math.max(seen.sinceMs, dueAtMs) + waitMs) return { type: "wait" };
    return { type: "write", position, token: nextToken(this.#greatestToken, position) };
  }
}
