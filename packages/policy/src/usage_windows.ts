/**
 * Decides which windows of usage are reported when, and that no window is ever reported with two different counts. Load
 * pattern: counts of 30 gateways that arrive late or not at all, holders that end between their steps, and a store that
 * has lost the last writes.
 *
 * @module
 */
import type { UsageCompleteness, UsageCounts } from "./usage_ledger.ts";

/** A window whose counts were written, so that they are never changed again. */
export interface FixedWindow {
  readonly window: number;
  readonly counts: UsageCounts;
}

/** The usage duty's part of its stored object. */
export interface UsageRecord {
  /** All windows up to this one were written or given up. */
  readonly through: number;
  /** Windows that may not have been sent. */
  readonly windows: readonly FixedWindow[];
}

/** Options of {@link UsageWindows}. */
export interface UsageWindowsOptions {
  readonly windowMs: number;
  /** Time after the end of a window at which its report is due. */
  readonly lateMs: number;
}

/** Fractions of the time until a report is due, counted from the end of its window. */
const SEND_AT = {
  /** All gateways have finished the window. With 10 s, their counts have had two intervals of messages to arrive. */
  complete: 0.1,
  /** A holder gives the turn to a successor where its own calls failed, or gateways are missing that may be back soon. */
  incomplete: 0.4,
  /** Fewer than half of the gateways are heard, so that others may know more. */
  minority: 0.8,
} as const;
/** Fraction of that time after which candidates look for a window of which they have heard nothing. */
const LOOK_AT = 0.25;
/** Times of `lateMs` for which a window that was written is still sent. */
const SEND_UNTIL = 2;

/** The windows that one candidate knows of. Times are in Unix milliseconds of the true time. */
export class UsageWindows {
  readonly #options: UsageWindowsOptions;
  readonly #fixed = new Map<number, UsageCounts>();
  readonly #accepted = new Set<number>();
  #through: number | null = null;
  /** The newest window that may have been written and lost. */
  #doubtfulThrough: number | null = null;
  /** Windows of an object that a late write of an earlier era may have put in place of another one. */
  #doubtful: readonly FixedWindow[] = [];
  /** The window in which this gateway began to listen. What ended before was heard by others. */
  #first: number | null = null;

  constructor(options: UsageWindowsOptions) {
    this.#options = options;
  }

  /** The window that contains a time. */
  windowAt(trueMs: number): number {
    return Math.floor(trueMs / this.#options.windowMs);
  }

  /** When a window ends. */
  endOf(window: number): number {
    return (window + 1) * this.#options.windowMs;
  }

  /** Time by which a report is late, in milliseconds; 0 if it is in time. */
  lateBy(window: number, trueMs: number): number {
    return Math.max(0, trueMs - this.endOf(window) - this.#options.lateMs);
  }

  /** The oldest window that can still be written. */
  oldestDue(trueMs: number): number {
    return this.windowAt(trueMs - this.#options.lateMs);
  }

  /** The oldest window of which anything needs to be kept. */
  oldestKept(trueMs: number): number {
    return this.windowAt(trueMs - SEND_UNTIL * this.#options.lateMs) - 1;
  }

  /** Takes over a stored object. Its windows are fixed from then on. */
  recordStored({ through, windows }: UsageRecord): void {
    for (const fixed of windows) this.recordFixed(fixed);
    this.#through = through;
    this.#doubtful = [];
  }

  /** Records a window that was written, here or by another candidate. The first counts that are known stay. */
  recordFixed({ window, counts }: FixedWindow): void {
    if (!this.#fixed.has(window)) this.#fixed.set(window, new Map(counts));
  }

  /** Records that the platform has accepted the report of a window, or has refused it for good. */
  recordAccepted(window: number): void {
    this.#accepted.add(window);
  }

  /**
   * Records that the store may have lost what was written after the object that it has, or what a late write of an earlier
   * era has overwritten; `null` if it has none that can be read. Until {@link UsageWindows.recordAllKnown}, a window that
   * may have been written in that time is not written anew, and the windows of the object are not sent.
   */
  recordLoss(trueMs: number, stored: UsageRecord | null): void {
    this.#doubtfulThrough = this.windowAt(trueMs - SEND_AT.complete * this.#options.lateMs) - 1;
    this.#through = stored?.through ?? this.#through;
    this.#doubtful = stored?.windows ?? [];
  }

  /** Records that everybody who may have written windows that were lost has told of them. */
  recordAllKnown(): void {
    for (const fixed of this.#doubtful) this.recordFixed(fixed);
    this.#doubtful = [];
    this.#doubtfulThrough = null;
  }

  /** All windows that are known to have been written. */
  fixed(): FixedWindow[] {
    return [...this.#fixed].map(([window, counts]) => ({ window, counts }));
  }

  /** Windows whose reports were accepted or refused, as far as this gateway has heard. */
  accepted(): number[] {
    return [...this.#accepted];
  }

  /**
   * When candidates had to look for windows of which they have not heard that they were accepted: for the oldest one,
   * whose time counts as the time at which the duty was due, and for the newest one. `null` if there is none.
   */
  looks(trueMs: number): { readonly oldestMs: number; readonly newestMs: number } | null {
    const { lateMs } = this.#options;
    this.#first ??= this.windowAt(trueMs);
    const newest = this.windowAt(trueMs - LOOK_AT * lateMs) - 1;
    for (let window = Math.max(this.#first, this.oldestDue(trueMs)); window <= newest; window++) {
      if (this.#accepted.has(window) || this.#isGivenUp(window)) continue;
      const lookAt = (w: number) => this.endOf(w) + LOOK_AT * lateMs;
      return { oldestMs: lookAt(window), newestMs: lookAt(newest) };
    }
    return null;
  }

  /** Records that this gateway does not hear of reports any more. */
  stopListening(): void {
    this.#first = null;
  }

  #isGivenUp(window: number): boolean {
    return this.#through !== null && window <= this.#through && !this.#fixed.has(window);
  }

  /** Windows that were written and whose reports have not been accepted, oldest first. */
  unsent(trueMs: number): FixedWindow[] {
    const oldest = this.windowAt(trueMs - SEND_UNTIL * this.#options.lateMs);
    return [...this.#fixed]
      .filter(([window]) => window >= oldest && !this.#accepted.has(window))
      .filter(([window]) => this.#through === null || window <= this.#through)
      .map(([window, counts]) => ({ window, counts }))
      .sort((a, b) => a.window - b.window);
  }

  /**
   * The object to write now, with all windows that are to be written; `null` if there is none. `shouldYield` says that
   * this gateway's calls failed, so that another candidate gets the turn first.
   */
  recordToWrite(
    trueMs: number,
    { totals, completeness, shouldYield }: {
      readonly totals: (window: number) => UsageCounts;
      readonly completeness: (window: number) => UsageCompleteness;
      readonly shouldYield: boolean;
    },
  ): UsageRecord | null {
    const newest = this.windowAt(trueMs - SEND_AT.complete * this.#options.lateMs) - 1;
    const first = Math.max(this.oldestDue(trueMs), (this.#through ?? -1) + 1);
    const fixed: FixedWindow[] = this.unsent(trueMs);
    let through = this.#through;
    for (let window = first; window <= newest; window++) {
      const known = this.#fixed.get(window);
      if (known === undefined && trueMs < this.#writeAt(window, completeness, shouldYield)) break;
      through = window;
      // No report is better than a second one with other counts.
      if (known === undefined && window <= (this.#doubtfulThrough ?? -1)) continue;
      fixed.push({ window, counts: known ?? totals(window) });
    }
    return through === null || through === this.#through ? null : { through, windows: fixed };
  }

  /** The object with the windows that were not accepted, for a successor that has nothing to add. */
  recordToTakeOver(trueMs: number): UsageRecord | null {
    const windows = this.unsent(trueMs);
    return this.#through === null || windows.length === 0
      ? null
      : { through: this.#through, windows };
  }

  /** Forgets windows that no longer matter. */
  prune(trueMs: number): void {
    const oldest = this.oldestKept(trueMs);
    for (const window of this.#fixed.keys()) if (window < oldest) this.#fixed.delete(window);
    for (const window of this.#accepted) if (window < oldest) this.#accepted.delete(window);
  }

  #writeAt(
    window: number,
    completeness: (window: number) => UsageCompleteness,
    shouldYield: boolean,
  ): number {
    const { missing, isMinority } = completeness(window);
    let fraction: number = SEND_AT.complete;
    if (missing > 0 || shouldYield) fraction = SEND_AT.incomplete;
    if (isMinority) fraction = SEND_AT.minority;
    return this.endOf(window) + fraction * this.#options.lateMs;
  }
}
