/**
 * Base class of the checkers. A checker verifies one property of the system in one pass over a history and lists the
 * violations.
 *
 * @module
 */
import type { HistoryEvent } from "./history.ts";

/**
 * Number of a property that the checkers verify, as in section 1 of the design page; reports print it as `promise`.
 * `createCheckers` names the property of each number.
 */
export type PropertyNumber = 1 | 2 | 3 | 4 | 5 | 6 | 7 | 8 | 9 | 10;

/** One violation of a property. `at` is the index of the event that shows it, or the history's length. */
export interface Violation {
  readonly promise: PropertyNumber;
  readonly at: number;
  readonly message: string;
}

/** Result of a checker. `examined` counts the facts that were checked; zero means that the run verified nothing. */
export interface CheckResult {
  readonly promise: PropertyNumber;
  readonly examined: number;
  readonly violations: readonly Violation[];
}

/** Processes the events of a history in order and collects violations. */
export abstract class Checker {
  abstract readonly promise: PropertyNumber;
  #examined = 0;
  readonly #violations: Violation[] = [];

  /** Checks a complete history. Checkers keep state, so each instance checks only one history. */
  check(history: readonly HistoryEvent[]): CheckResult {
    history.forEach((event, at) => this.onEvent(event, at));
    this.onEnd(history.length);
    return { promise: this.promise, examined: this.#examined, violations: this.#violations };
  }

  protected abstract onEvent(event: HistoryEvent, at: number): void;

  protected onEnd(_length: number): void {}

  /** Counts one fact that could have violated the property. */
  protected examine(): void {
    this.#examined++;
  }

  protected violate(at: number, message: string): void {
    this.#violations.push({ promise: this.promise, at, message });
  }
}
