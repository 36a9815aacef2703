/**
 * The decision log: one line per decision on a request and per change of the process's state. Its rate is bounded, and
 * writing never blocks.
 *
 * @module
 */
import { write } from "node:fs";
import type { Clock, Undo } from "@wisteriapick/core";
import bunyan from "bunyan";

/** Writes log lines for decisions and state changes. */
export abstract class DecisionLog {
  /** Logs a decision on one request. Under load, the line may be dropped and counted. */
  abstract request(event: string, fields: Record<string, unknown>): void;
  /** Logs a start, a stop, or a change of the process's state. */
  abstract state(event: string, fields: Record<string, unknown>): void;
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

/** Accepts log lines without ever blocking. */
export interface LineSink {
  /** Returns false if the line was dropped. */
  write(line: string): boolean;
}

/** About ten times the rate of a busy entry in present deployments. */
const REQUEST_LINES_PER_SECOND = 500;
/** Largest number of bytes buffered while the descriptor does not accept them. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Time for which lines are collected before they are written together. */
const FLUSH_DELAY_MS = 50;
const STDOUT = 1;

/**
 * Writes lines to a file descriptor on the thread pool. While the descriptor accepts nothing, lines are buffered up to
 * a bound and dropped beyond it.
 */
export class DescriptorSink implements LineSink {
  readonly #fd: number;
  readonly #clock: Clock;
  #lines: string[] = [];
  #bufferedBytes = 0;
  #stopTimer: Undo | null = null;
  #writing = false;

  constructor(clock: Clock, fd: number = STDOUT) {
    this.#fd = fd;
    this.#clock = clock;
  }

  write(line: string): boolean {
    if (this.#bufferedBytes + line.length > MAX_BUFFERED_BYTES) return false;
    this.#lines.push(line);
    this.#bufferedBytes += line.length;
    this.#stopTimer ??= this.#clock.setTimer(FLUSH_DELAY_MS, () => this.flush());
    return true;
  }

  /** Writes the buffered lines to the descriptor. `onEmpty` is called when none are left. */
  flush(onEmpty: () => void = () => {}): void {
    this.#stopTimer?.();
    this.#stopTimer = null;
    if (this.#writing) return void this.#clock.setTimer(FLUSH_DELAY_MS, () => this.flush(onEmpty));
    if (this.#lines.length === 0) return onEmpty();
    const buf = Buffer.from(this.#lines.join(""));
    this.#lines = [];
    this.#bufferedBytes = 0;
    this.#writing = true;
    this.#writeAll(buf, onEmpty);
  }

  #writeAll(buf: Buffer, onEmpty: () => void): void {
    write(this.#fd, buf, (err, written) => {
      // A failure to write the log cannot be logged: the lines are lost, and the process continues.
      if (err !== null && err.code !== "EAGAIN") written = buf.length;
      const rest = buf.subarray(err?.code === "EAGAIN" ? 0 : written);
      if (rest.length > 0) {
        this.#clock.setTimer(FLUSH_DELAY_MS, () => this.#writeAll(rest, onEmpty));
        return;
      }
      this.#writing = false;
      this.flush(onEmpty);
    });
  }
}

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
  #dropped = 0;

  constructor(options: Required<DecisionLogOptions>) {
    super();
    this.#clock = options.clock;
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
