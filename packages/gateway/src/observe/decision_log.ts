/**
 * The decision log: one line per decision on a request and per change of the process's state. Its rate is bounded, and
 * writing never blocks.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";
import bunyan from "bunyan";
import { DescriptorSink, type LineSink } from "./descriptor_sink.ts";

/** Writes log lines for decisions and state changes. */
export abstract class DecisionLog {
  /** Logs a decision on one request. Under load, the line may be dropped and counted. */
  abstract request(event: string, fields: Record<string, unknown>): void;
  /** Logs a start, a stop, or a change of the process's state. */
  abstract state(event: string, fields: Record<string, unknown>): void;
  /** Writes the lines that are still collected. `onWritten` is called when none are left. */
  flush(onWritten: () => void): void {
    onWritten();
  }
}

/** Options of {@link createDecisionLog}. */
export interface DecisionLogOptions {
  readonly name: string;
  readonly clock: Clock;
  /** Largest number of lines about requests per second. */
  readonly requestLinesPerSecond?: number;
  /** Receives complete lines; standard output by default. */
  readonly sink?: LineSink;
}

/** About ten times the rate of a busy entry in present deployments. */
const REQUEST_LINES_PER_SECOND = 500;
/** A token bucket that allows `perSecond` lines, with a burst of one second. */
class LineBudget {
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

class BoundedDecisionLog extends DecisionLog {
  readonly #log: bunyan;
  readonly #clock: Clock;
  readonly #budget: LineBudget;
  readonly #sink: LineSink;
  #dropped = 0;

  constructor(options: Required<DecisionLogOptions>) {
    super();
    this.#clock = options.clock;
    this.#sink = options.sink;
    this.#budget = new LineBudget(options.requestLinesPerSecond, options.clock.now());
    const stream = {
      write: (line: string) => {
        if (!options.sink.write(line)) this.#dropped++;
      },
    };
    this.#log = bunyan.createLogger({
      name: options.name,
      streams: [{ stream: stream as NodeJS.WritableStream, level: "info" }],
    });
  }

  override request(event: string, fields: Record<string, unknown>): void {
    if (!this.#budget.take(this.#clock.now())) {
      this.#dropped++;
      return;
    }
    this.#reportDropped();
    this.#log.info(fields, event);
  }

  override state(event: string, fields: Record<string, unknown>): void {
    this.#reportDropped();
    this.#log.info(fields, event);
  }

  override flush(onWritten: () => void): void {
    this.#reportDropped();
    if (this.#sink.flush === undefined) return onWritten();
    this.#sink.flush(onWritten);
  }

  #reportDropped(): void {
    if (this.#dropped === 0) return;
    const lines = this.#dropped;
    this.#dropped = 0;
    this.#log.warn({ lines }, "log_lines_dropped");
  }
}

/**
 * Creates a decision log.
 *
 * @example
 * ```ts
 * const log = createDecisionLog({ name: "entry", clock });
 * log.state("started", { version: "0.1.0" });
 * ```
 */
export function createDecisionLog(options: DecisionLogOptions): DecisionLog {
  return new BoundedDecisionLog({
    name: options.name,
    clock: options.clock,
    requestLinesPerSecond: options.requestLinesPerSecond ?? REQUEST_LINES_PER_SECOND,
    sink: options.sink ?? new DescriptorSink(options.clock),
  });
}
