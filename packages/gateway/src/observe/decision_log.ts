/**
 * The decision log: one line per decision on a request and per change of the process's state. Its rate is bounded, and
 * writing never blocks.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";
import {
  DEFAULT_LINE_RATES,
  type DroppedLines,
  type LineImportance,
  type LineRates,
  LogAllowance,
  type RefusalSum,
} from "@wisteriapick/policy";
import bunyan from "bunyan";
import { DescriptorSink, type LineSink } from "./descriptor_sink.ts";
import { importanceOf, refusalOf } from "./line_importance.ts";

/** Writes log lines for decisions and state changes. */
export abstract class DecisionLog {
  /** Logs a decision on one request. Under load, it may be summed up with others or dropped and counted. */
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
  readonly rates?: LineRates;
  /** Receives complete lines; standard output by default. */
  readonly sink?: LineSink;
}

/** Time for which lines that are left out are summed up, in milliseconds. */
export const SUM_INTERVAL_MS = 1_000;
/** Share of the sink's buffer that lines may fill, by what they are about. */
const BUFFER_SHARES: Readonly<Record<LineImportance | "state", number>> = {
  refused: 0.5,
  passed_on: 0.9,
  unanswered: 0.9,
  state: 1,
};

class BoundedDecisionLog extends DecisionLog {
  readonly #log: bunyan;
  readonly #clock: Clock;
  readonly #allowance: LogAllowance;
  readonly #sink: LineSink;
  #bufferShare = 1;
  #isWritten = false;
  #stopReport: Undo | null = null;

  constructor({ name, clock, rates, sink }: Required<DecisionLogOptions>) {
    super();
    this.#clock = clock;
    this.#sink = sink;
    this.#allowance = new LogAllowance(clock.now(), rates);
    const stream = {
      write: (line: string) => {
        this.#isWritten = sink.write(line, this.#bufferShare);
      },
    };
    this.#log = bunyan.createLogger({
      name,
      streams: [{ stream: stream as NodeJS.WritableStream, level: "info" }],
    });
  }

  override request(event: string, fields: Record<string, unknown>): void {
    const importance = importanceOf(event, fields);
    const now = this.#clock.now();
    const isAllowed = importance === "refused"
      ? this.#allowance.takeRefusal(refusalOf(event, fields), now)
      : this.#allowance.take(importance, now);
    if (isAllowed && !this.#write(importance, event, fields)) {
      this.#allowance.recordDropped(importance);
    }
    this.#scheduleReport();
  }

  override state(event: string, fields: Record<string, unknown>): void {
    if (!this.#write("state", event, fields)) this.#allowance.recordDropped("state");
    this.#scheduleReport();
  }

  override flush(onWritten: () => void): void {
    this.#reportLeftOut();
    if (this.#sink.flush === undefined) return onWritten();
    this.#sink.flush(onWritten);
  }

  /** Returns false if the sink has no room for the line. */
  #write(about: LineImportance | "state", event: string, fields: Record<string, unknown>): boolean {
    this.#bufferShare = BUFFER_SHARES[about];
    if (event === "log_lines_dropped") this.#log.warn(fields, event);
    else this.#log.info(fields, event);
    return this.#isWritten;
  }

  #scheduleReport(): void {
    if (!this.#allowance.hasLeftOut) return;
    this.#stopReport ??= this.#clock.setTimer(SUM_INTERVAL_MS, () => this.#reportLeftOut());
  }

  #reportLeftOut(): void {
    this.#stopReport?.();
    this.#stopReport = null;
    const { sums, dropped } = this.#allowance.takeLeftOut();
    for (const sum of sums) {
      if (!this.#write("state", "refusals_summed", this.#fieldsOf(sum))) {
        this.#allowance.restore([sum]);
      }
    }
    const counts = Object.entries(dropped) as [keyof DroppedLines, number][];
    const lines = counts.reduce((total, [, count]) => total + count, 0);
    if (lines > 0 && !this.#write("state", "log_lines_dropped", { lines, ...dropped })) {
      for (const [about, count] of counts) this.#allowance.recordDropped(about, count);
    }
    this.#scheduleReport();
  }

  #fieldsOf({ reason, count, requestIds, firstAtMs, lastAtMs }: RefusalSum) {
    const toTime = (ms: number) =>
      new Date(this.#clock.wall() - this.#clock.now() + ms).toISOString();
    return {
      reason,
      count,
      reqs: requestIds,
      firstAt: toTime(firstAtMs),
      lastAt: toTime(lastAtMs),
    };
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
    rates: options.rates ?? DEFAULT_LINE_RATES,
    sink: options.sink ?? new DescriptorSink(options.clock),
  });
}
