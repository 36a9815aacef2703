/**
 * Boundaries of errors that nobody expects: an error ends the unit of work in which it was raised, and nothing else.
 *
 * Callbacks of timers, sockets and promises have no caller that could catch an error, so one that is raised there ends
 * the process with all its requests. What raises it is often a value that another party wrote, which stays, so that
 * every process ends that reads it, again and again.
 *
 * @module
 */
import { Clock, type Undo } from "@wisteriapick/core";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** A kind of work that can fail without anything else. */
export type ErrorUnit =
  | "request"
  | "call"
  | "stream"
  | "queued_stream"
  | "accept"
  | "connection"
  | "plain_request"
  | "peer_link"
  | "peer_message"
  | "view"
  | "tick"
  | "timer";

/** Options of {@link ErrorBoundary}. */
export interface ErrorBoundaryOptions {
  readonly log: DecisionLog;
  readonly clock: Clock;
  readonly metrics?: Pick<GatewayMetrics, "countContainedError">;
}

/** Fields of a log line that say where an error was contained. */
export type ErrorDetails = Readonly<Record<string, unknown>>;

/**
 * Shortest time between two lines about one part of a unit, in milliseconds: an odd value may raise an error with every
 * request.
 */
const LINE_INTERVAL_MS = 1_000;
/** Largest number of parts, of all units together, that have lines of their own. */
const MAX_PARTS = 200;

/** Errors of one part of a unit since its last line. */
interface Unreported {
  lineAtMs: number;
  errors: number;
}

/**
 * Runs units of work, and logs and counts the errors in them.
 *
 * @example
 * ```ts
 * const errors = new ErrorBoundary({ log, clock, metrics });
 * errors.run("peer_message", () => handler(peer, msg));
 * socket.on("data", errors.wrap("call", (chunk) => call.onData(chunk), () => call.fail()));
 * ```
 */
export class ErrorBoundary {
  readonly #options: ErrorBoundaryOptions;
  /** By unit and details, as a part that fails all the time must not hide another one. */
  readonly #unreported = new Map<string, Unreported>();

  constructor(options: ErrorBoundaryOptions) {
    this.#options = options;
  }

  /** Runs `work`. After an error, `onError` ends the unit of work in a way that is true for those who wait for it. */
  run(
    unit: ErrorUnit,
    work: () => void,
    onError: () => void = () => {},
    details: ErrorDetails = {},
  ): void {
    try {
      work();
    } catch (e) {
      try {
        this.report(unit, e, details);
      } finally {
        this.#end(unit, onError, details);
      }
    }
  }

  #end(unit: ErrorUnit, onError: () => void, details: ErrorDetails): void {
    try {
      onError();
    } catch (e) {
      this.report(unit, e, { ...details, isEnding: true });
    }
  }

  /** Returns a function that calls `fn` within a boundary. */
  wrap<A extends unknown[]>(
    unit: ErrorUnit,
    fn: (...args: A) => void,
    onError: () => void = () => {},
  ): (...args: A) => void {
    return (...args) => this.run(unit, () => fn(...args), onError);
  }

  /**
   * Counts an error, and logs it unless the part of the unit that `details` name had a line within the last second. The
   * next line has the number.
   */
  report(unit: ErrorUnit, e: unknown, details: ErrorDetails = {}): void {
    try {
      this.#options.metrics?.countContainedError(unit);
    } catch (err) {
      this.#log(unit, err, { ...details, isCounting: true });
    }
    this.#log(unit, e, details);
  }

  #log(unit: ErrorUnit, e: unknown, details: ErrorDetails): void {
    const { log, clock } = this.#options;
    const now = clock.now();
    const known = this.#unreportedOf(unit, details, now);
    known.errors++;
    if (now - known.lineAtMs < LINE_INTERVAL_MS) return;
    const err = e instanceof Error ? e : new Error(textOf(e));
    log.state("error_contained", {
      unit,
      errors: known.errors,
      ...details,
      err: { name: err.name, message: err.message, stack: err.stack },
    });
    known.lineAtMs = now;
    known.errors = 0;
  }

  #unreportedOf(unit: ErrorUnit, details: ErrorDetails, now: number): Unreported {
    const part = `${unit} ${JSON.stringify(details)}`;
    const known = this.#unreported.get(part);
    if (known !== undefined) return known;
    if (this.#unreported.size >= MAX_PARTS) this.#forgetQuiet(now);
    // Parts beyond the bound share the line of their unit.
    const key = this.#unreported.size < MAX_PARTS ? part : unit;
    const unreported = this.#unreported.get(key) ?? { lineAtMs: -Infinity, errors: 0 };
    this.#unreported.set(key, unreported);
    return unreported;
  }

  /** Forgets parts that may have a line at once. */
  #forgetQuiet(now: number): void {
    for (const [part, { lineAtMs }] of this.#unreported) {
      if (now - lineAtMs >= LINE_INTERVAL_MS) this.#unreported.delete(part);
    }
  }
}

/** The text of a value that was raised and is no error; one of an object without a prototype has none. */
function textOf(e: unknown): string {
  try {
    return String(e);
  } catch {
    return `a value of type ${typeof e}`;
  }
}

/** A clock of which an error in a callback ends that callback only. */
export class ContainedClock extends Clock {
  readonly #clock: Clock;
  readonly #errors: ErrorBoundary;

  constructor(clock: Clock, errors: ErrorBoundary) {
    super();
    this.#clock = clock;
    this.#errors = errors;
  }

  override now(): number {
    return this.#clock.now();
  }

  override wall(): number {
    return this.#clock.wall();
  }

  override setTimer(ms: number, fn: () => void): Undo {
    return this.#clock.setTimer(ms, this.#errors.wrap("timer", fn));
  }
}
