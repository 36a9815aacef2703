/**
 * Decides whether a generation for which no engine has room waits, waits to start late, or is
 * refused at once, and when a refused caller should come back.
 *
 * Load pattern: for some seconds more generations arrive than engines have memory for. A generation
 * that starts late is worth a fraction of one on time, but more than a refused one; one that waits
 * until its caller gives up is worth nothing and has kept its caller from trying again.
 *
 * @module
 */

/** A generation that no engine has room for, and what is forecast for it. */
export interface BlockedGeneration {
  /** Latest start at which the target of the time to the first event can still be met. */
  readonly startByMs: number;
  /** Latest start after a wait that leaves time for the response; see {@link latestLateStart}. */
  readonly lateByMs: number;
  /** Time from which on its caller no longer waits for a response. */
  readonly dueAtMs: number;
  /** Time until there is a place for it in the order of the queue; `null` if none is in sight. */
  readonly startInMs: number | null;
  /** Time until there is a place for it if no generation on time is to be delayed; `null` as above. */
  readonly lateStartInMs: number | null;
  /** Fraction of all places that are free. */
  readonly freeShare: number;
  /** Whether it was refused before, so that its caller does not come back again. */
  readonly hasReturned: boolean;
}

/** What to do with a generation that no engine has room for. */
export type StartDecision =
  /** It stays in the queue and is expected to start on time. */
  | { readonly type: "wait" }
  /** It stays in the queue, behind those that can start on time. */
  | { readonly type: "wait_late" }
  | { readonly type: "refuse"; readonly retryAfterMs: number };

/** Options of {@link decideStart}. */
export interface StartDecisionOptions {
  /** Whether generations may start after their latest start on time. */
  readonly allowsLate: boolean;
  /** A random number in [0, 1) that spreads the retries of callers. */
  readonly random: number;
}

/** Fraction of free places from which nothing is refused for want of room: the cause is then not room. */
const AMPLE_FREE_SHARE = 0.5;
/** Callers come back after at most this fraction of the time that they have left. */
export const MAX_RETRY_FRACTION = 1 / 3;
/** Shortest delay of a retry, in milliseconds: a caller that comes back sooner finds what it left. */
const MIN_RETRY_MS = 100;
/** Fraction of a delay by which the retries of several callers are spread. */
const RETRY_SPREAD = 0.25;
/** Fraction of the longest delay from which on retries are spread, where no place is in sight. */
const MIN_HOPELESS_FRACTION = 0.5;
/**
 * Fraction of the time between the latest start on time and the end that a generation may wait. The
 * rest lets a caller who is refused after all come back once.
 */
const MAX_LATE_FRACTION = 0.5;
/** The same for one that has come back, and does not come back again. */
const MAX_RETURNED_FRACTION = 0.75;

/** Latest time at which a generation may start late. It leaves time for the whole response. */
export function latestLateStart(
  { startByMs, dueAtMs, hasReturned, runMs }: {
    readonly startByMs: number;
    readonly dueAtMs: number;
    readonly hasReturned: boolean;
    /** Expected time from the start to the end of the response, in milliseconds. */
    readonly runMs: number;
  },
): number {
  const fraction = hasReturned ? MAX_RETURNED_FRACTION : MAX_LATE_FRACTION;
  const waitUntilMs = startByMs + fraction * Math.max(0, dueAtMs - startByMs);
  return Math.max(startByMs, Math.min(dueAtMs - runMs, waitUntilMs));
}

/**
 * Decides what becomes of a generation that no engine has room for.
 *
 * @example
 * ```ts
 * decideStart(blocked, { allowsLate: true, random: rng.next() }, clock.now());
 * ```
 */
export function decideStart(
  blocked: BlockedGeneration,
  { allowsLate, random }: StartDecisionOptions,
  nowMs: number,
): StartDecision {
  const { startByMs, lateByMs, dueAtMs, startInMs, lateStartInMs, freeShare, hasReturned } =
    blocked;
  const latestMs = allowsLate ? lateByMs : startByMs;
  if (nowMs < latestMs) {
    const isOnTime = nowMs < startByMs;
    if (isOnTime && startInMs !== null && nowMs + startInMs <= startByMs) return { type: "wait" };
    if (freeShare >= AMPLE_FREE_SHARE) return { type: isOnTime ? "wait" : "wait_late" };
    // A second refusal is final, so that even a small chance to start late is worth more.
    if (allowsLate && hasReturned) return { type: "wait_late" };
    const lateStart = lateStartInMs === null ? Infinity : nowMs + lateStartInMs;
    if (allowsLate && lateStart <= lateByMs) return { type: "wait_late" };
  }
  const retryAfterMs = retryDelayMs(lateStartInMs ?? startInMs, { dueAtMs, nowMs, random });
  return { type: "refuse", retryAfterMs };
}

/** An engine that has room for a generation, and how scarce room is. */
export interface OfferedStart {
  /** Expected time to the first event at the engine, in milliseconds. */
  readonly firstEventMs: number;
  /** Time until which the first event is on time. */
  readonly targetByMs: number;
  /** Latest start on time at an engine without prompts to prefill. */
  readonly startByMs: number;
  /** Fraction of the engines that have room. */
  readonly roomShare: number;
}

/** Fraction of the engines with room from which on waiting for another one is of no use. */
const SCARCE_ROOM_SHARE = 0.5;

/**
 * Whether a generation waits for another engine, as the only ones with room have so many prompts to
 * prefill that it would be late there. Load pattern: an engine that has just joined takes all that
 * waited, and a short stream behind it waits for the prefill of several long prompts, while places
 * become free at other engines every few tens of milliseconds.
 */
export function shouldAwaitOther(
  { firstEventMs, targetByMs, startByMs, roomShare }: OfferedStart,
  nowMs: number,
): boolean {
  return nowMs < startByMs && nowMs + firstEventMs > targetByMs && roomShare < SCARCE_ROOM_SHARE;
}

/** Delay after which a caller finds room, as far as callers honour it. */
function retryDelayMs(
  roomInMs: number | null,
  { dueAtMs, nowMs, random }: {
    readonly dueAtMs: number;
    readonly nowMs: number;
    readonly random: number;
  },
): number {
  const longest = Math.max(MIN_RETRY_MS, MAX_RETRY_FRACTION * (dueAtMs - nowMs));
  if (roomInMs === null || roomInMs >= longest) {
    return longest * (MIN_HOPELESS_FRACTION + (1 - MIN_HOPELESS_FRACTION) * random);
  }
  const spread = Math.max(MIN_RETRY_MS, RETRY_SPREAD * roomInMs) * random;
  return Math.min(longest, Math.max(MIN_RETRY_MS, roomInMs + spread));
}
