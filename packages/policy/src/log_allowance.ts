/**
 * Decides which log lines about requests are written, so that their volume is bounded and the lines of requests that
 * may have run are kept.
 *
 * Load pattern: 150 callers that return at once to an entry that is stopping. Each is refused fifty times a second,
 * while the requests that were taken before are still placed, sent, lost and answered.
 *
 * @module
 */

/**
 * What a line is about: a request that was `passed_on` to an endpoint or may be, one that was left `unanswered` by the
 * gateway, or one that was `refused` and has not run.
 */
export type LineImportance = "passed_on" | "unanswered" | "refused";

/** A line about a refused request. */
export interface RefusalLine {
  /** What lines are summed up by: the event and its reason. */
  readonly reason: string;
  /** The request's id, where it is known. */
  readonly requestId: string | null;
}

/** The refusals of one reason that were not written as lines of their own. */
export interface RefusalSum {
  readonly reason: string;
  readonly count: number;
  /** The first ids; those of all sums together have at most {@link MAX_SUMMED_ID_LENGTH} characters. */
  readonly requestIds: readonly string[];
  /** Times of the first and the last one, in milliseconds. */
  readonly firstAtMs: number;
  readonly lastAtMs: number;
}

/** Number of lines that were dropped, by what they were about: requests, or the `state` of the process. */
export type DroppedLines = Readonly<Partial<Record<LineImportance | "state", number>>>;

/** What {@link LogAllowance} left out since the last report. */
export interface LeftOutLines {
  readonly sums: readonly RefusalSum[];
  readonly dropped: DroppedLines;
}

/** Options of {@link LogAllowance}: largest number of lines a second, with a burst of one second. */
export type LineRates = Readonly<Record<LineImportance, number>>;

/**
 * A request that is passed on has two to four lines and takes a third of a millisecond of a core or more, so that
 * 4,000 lines are more than one core brings about. A gateway has a few hundred requests in progress when it ends.
 * Refusals cost so little that their number is bounded by nothing else.
 */
export const DEFAULT_LINE_RATES: LineRates = { passed_on: 4_000, unanswered: 1_000, refused: 200 };
/**
 * Largest total length of the ids in all sums of a report, in characters: about a thousand ids of 16 characters in a
 * second, in an eighth of the bytes of their lines.
 */
export const MAX_SUMMED_ID_LENGTH = 20_000;
/** Length to which ids in a sum are cut, in characters, as callers choose them. */
const MAX_ID_LENGTH = 64;
/** Quotation marks and comma of an id in a line. */
const ID_OVERHEAD = 3;
/** Largest number of reasons that are summed up by themselves; there are about twenty. */
const MAX_REASONS = 32;
const OTHER_REASONS = "other";

interface MutableSum {
  reason: string;
  count: number;
  requestIds: string[];
  firstAtMs: number;
  lastAtMs: number;
}

/**
 * Allowances for lines about requests, by importance.
 *
 * @example
 * ```ts
 * const allowance = new LogAllowance(0);
 * if (allowance.take("passed_on", nowMs)) write(line);
 * if (!allowance.takeRefusal({ reason: "draining", requestId }, nowMs)) reportLater();
 * const { sums, dropped } = allowance.takeLeftOut();
 * ```
 */
export class LogAllowance {
  readonly #buckets: Readonly<Record<LineImportance, LineBucket>>;
  #sums = new Map<string, MutableSum>();
  #idLength = 0;
  #dropped: Partial<Record<keyof DroppedLines, number>> = {};

  constructor(nowMs: number, rates: LineRates = DEFAULT_LINE_RATES) {
    this.#buckets = {
      passed_on: new LineBucket(rates.passed_on, nowMs),
      unanswered: new LineBucket(rates.unanswered, nowMs),
      refused: new LineBucket(rates.refused, nowMs),
    };
  }

  /** Whether a line may be written. If not, it is counted as dropped. */
  take(importance: Exclude<LineImportance, "refused">, nowMs: number): boolean {
    if (this.#buckets[importance].take(nowMs)) return true;
    this.recordDropped(importance);
    return false;
  }

  /** Whether the line of a refusal may be written. If not, it is summed up with others of its reason. */
  takeRefusal(line: RefusalLine, nowMs: number): boolean {
    if (this.#buckets.refused.take(nowMs)) return true;
    this.#sumUp(line, nowMs);
    return false;
  }

  /** Records lines that were allowed and could not be written. */
  recordDropped(about: keyof DroppedLines, count = 1): void {
    this.#dropped[about] = (this.#dropped[about] ?? 0) + count;
  }

  /** Whether lines were left out since the last report. */
  get hasLeftOut(): boolean {
    return this.#sums.size > 0 || Object.keys(this.#dropped).length > 0;
  }

  /** Returns what was left out since the last call. */
  takeLeftOut(): LeftOutLines {
    const leftOut = { sums: [...this.#sums.values()], dropped: this.#dropped };
    this.#sums = new Map();
    this.#idLength = 0;
    this.#dropped = {};
    return leftOut;
  }

  /** Takes back sums that could not be written, so that a later report has their counts. */
  restore(sums: readonly RefusalSum[]): void {
    for (const { reason, count, firstAtMs, lastAtMs } of sums) {
      const sum = this.#sumOf(reason, firstAtMs);
      sum.count += count;
      sum.firstAtMs = Math.min(sum.firstAtMs, firstAtMs);
      sum.lastAtMs = Math.max(sum.lastAtMs, lastAtMs);
    }
  }

  #sumUp({ reason, requestId }: RefusalLine, nowMs: number): void {
    const sum = this.#sumOf(reason, nowMs);
    sum.count++;
    sum.lastAtMs = nowMs;
    if (requestId === null) return;
    const id = requestId.slice(0, MAX_ID_LENGTH);
    if (this.#idLength + id.length + ID_OVERHEAD > MAX_SUMMED_ID_LENGTH) return;
    this.#idLength += id.length + ID_OVERHEAD;
    sum.requestIds.push(id);
  }

  #sumOf(reason: string, nowMs: number): MutableSum {
    const isKnown = this.#sums.has(reason) || this.#sums.size < MAX_REASONS;
    const key = isKnown ? reason : OTHER_REASONS;
    let sum = this.#sums.get(key);
    if (sum === undefined) {
      sum = { reason: key, count: 0, requestIds: [], firstAtMs: nowMs, lastAtMs: nowMs };
      this.#sums.set(key, sum);
    }
    return sum;
  }
}

/** A token bucket that allows `perSecond` lines, with a burst of one second. */
class LineBucket {
  readonly #perSecond: number;
  #tokens: number;
  #updatedAtMs: number;

  constructor(perSecond: number, nowMs: number) {
    this.#perSecond = perSecond;
    this.#tokens = perSecond;
    this.#updatedAtMs = nowMs;
  }

  take(nowMs: number): boolean {
    const refill = (nowMs - this.#updatedAtMs) * this.#perSecond / 1_000;
    this.#tokens = Math.min(this.#perSecond, this.#tokens + refill);
    this.#updatedAtMs = nowMs;
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }
}
