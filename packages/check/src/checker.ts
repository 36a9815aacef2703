/**
 * The form of a checker: one promise, one pass over a history, a list of violations.
 *
 * @module
 */
import type { HistoryEvent } from "./history.ts";

/** Promises are numbered as in section 1 of the design page. */
export type PromiseNumber = 1 | 2 | 3 | 4 | 5 | 6 | 7 | 8 | 9 | 10;

/** One breach of a promise. `at` is the index of the event that shows it, or the history's length. */
export interface Violation {
  readonly promise: PromiseNumber;
  readonly at: number;
  readonly message: string;
}

/** What a checker found. `examined` counts the facts it looked at: zero means that nothing was proved. */
export interface CheckResult {
  readonly promise: PromiseNumber;
  readonly examined: number;
  readonly violations: readonly Violation[];
}

/** Looks at the events in order and collects violations. */
export abstract class Checker {
  abstract readonly promise: PromiseNumber;
  #examined = 0;
  readonly #violations: Violation[] = [];

  /** Checks a whole history. A checker is used once. */
  check(history: readonly HistoryEvent[]): CheckResult {
    history.forEach((event, at) => this.onEvent(event, at));
    this.onEnd(history.length);
    return { promise: this.promise, examined: this.#examined, violations: this.#violations };
  }

  protected abstract onEvent(event: HistoryEvent, at: number): void;

  protected onEnd(_length: number): void {}

  /** Counts one fact that could have broken the promise. */
  protected examine(): void {
    this.#examined++;
  }

  protected violate(at: number, message: string): void {
    this.#violations.push({ promise: this.promise, at, message });
  }
}
