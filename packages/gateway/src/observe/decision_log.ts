/**
 * The log of decisions: a line for each decision on a request and each change of belief, bounded in rate and never
 * blocking.
 *
 * @module
 */
import { write } from "node:fs";
import type { Clock, Undo } from "@wisteriapick/core";
import bunyan from "bunyan";

/** Writes decisions. */
export abstract class DecisionLog {
  /** A decision on one request; may be dropped, and counted, under load. */
  abstract request(event: string, fields: Record<string, unknown>): void;
  /** A start, a stop, or a change of what the process believes. */
  abstract state(event: string, fields: Record<string, unknown>): void;
}

/** Options of {@link createDecisionLog}. */
export interface DecisionLogOptions {
  readonly name: string;
  readonly clock: Clock;
  /** Lines about requests written in a second at most. */
  readonly requestLinesPerSecond?: number;
  /** Takes whole lines; standard output by default. */
  readonly sink?: LineSink;
}

/** Takes log lines without ever blocking. */
export interface LineSink {
  /** Returns false where the line was dropped. */
  write(line: string): boolean;
}

/** About ten times the lines of a busy entry of today's deployments. */
const REQUEST_LINES_PER_SECOND = 500;
/** Bytes held while standard output does not take them. */
const MAX_HELD_BYTES = 1_048_576;
/** Time for which lines are collected before they are written together, in milliseconds. */
const FLUSH_MS = 50;
const STDOUT = 1;

/**
 * Lines for a file descriptor, written by the thread pool. While the descriptor takes nothing, lines are kept up to a
 * bound and dropped beyond it.
 */
export class DescriptorSink implements LineSink {
  readonly #fd: number;
  readonly #clock: Clock;
  #held: string[] = [];
  #heldBytes = 0;
  #stopTimer: Undo | null = null;
  #writing = false;

  constructor(clock: Clock, fd: number = STDOUT) {
    this.#fd = fd;
    this.#clock = clock;
  }

  write(line: string): boolean {
    if (this.#heldBytes + line.length > MAX_HELD_BYTES) return false;
    this.#held.push(line);
    this.#heldBytes += line.length;
    this.#stopTimer ??= this.#clock.setTimer(FLUSH_MS, () => this.flush());
    return true;
  }

  /** Hands what is held to the descriptor; `done` is called when nothing is left. */
  flush(done: () => void = () => {}): void {
    this.#stopTimer?.();
    this.#stopTimer = null;
    if (this.#writing) return void this.#clock.setTimer(FLUSH_MS, () => this.flush(done));
    if (this.#held.length === 0) return done();
    const buf = Buffer.from(this.#held.join(""));
    this.#held = [];
    this.#heldBytes = 0;
    this.#writing = true;
    this.#writeAll(buf, done);
  }

  #writeAll(buf: Buffer, done: () => void): void {
    write(this.#fd, buf, (err, written) => {
      // A log that cannot be written has nowhere to say so; lines are lost, the process goes on.
      if (err !== null && err.code !== "EAGAIN") written = buf.length;
      const rest = buf.subarray(err?.code === "EAGAIN" ? 0 : written);
      if (rest.length > 0) {
        this.#clock.setTimer(FLUSH_MS, () => this.#writeAll(rest, done));
        return;
      }
      this.#writing = false;
      this.flush(done);
    });
  }
}

/** Lines allowed at `perSecond`, with a burst of one second. */
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
    const gained = (nowMs - this.#updatedAtMs) * this.#perSecond / 1_000;
    this.#tokens = Math.min(this.#perSecond, this.#tokens + gained);
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
 * Makes a decision log.
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
