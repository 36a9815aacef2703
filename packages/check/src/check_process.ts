/**
 * What entries and sides of a run have in common: they start, pause, go on and end.
 *
 * @module
 */
import type { ProcessId, Undo } from "@wisteriapick/core";
import { watchRevisions } from "./check_config.ts";
import type { RunContext } from "./context.ts";
import type { ConfigSource } from "@wisteriapick/control";
import { PausableClock } from "./pausable_clock.ts";

/** A process while it runs. `M` is the real process object. */
export interface Running<M> {
  readonly process: ProcessId;
  readonly clock: PausableClock;
  readonly main: M;
  readonly undo: Undo;
}

/** See the module comment. */
export abstract class CheckProcess<M extends { close(): Promise<void> }> {
  protected readonly ctx: RunContext;
  protected running: Running<M> | null = null;
  #starts = 0;

  constructor(ctx: RunContext) {
    this.ctx = ctx;
  }

  get process(): ProcessId | null {
    return this.running?.process ?? null;
  }

  start(): void {
    if (this.running !== null) return;
    const process = this.makeId(++this.#starts);
    const clock = new PausableClock(this.ctx.clock);
    this.ctx.recorder.record({ atMs: clock.now(), type: "process_started", process });
    const { main, config } = this.makeMain(process, clock);
    this.running = { process, clock, main, undo: watchRevisions(this.ctx, process, config) };
  }

  /** Ends the process at once. */
  kill(): void {
    if (this.running === null) return;
    const { process, main, undo } = this.running;
    const { network, recorder, clock } = this.ctx;
    recorder.record({ atMs: clock.now(), type: "process_killed", process });
    this.running = null;
    undo();
    network.kill(process);
    void main.close();
  }

  /** Stops the process's timers and messages, as when the operating system pauses it. */
  pause(): void {
    if (this.running === null) return;
    const { clock, process } = this.running;
    clock.pause();
    this.ctx.network.setFrozen(process, true);
    this.ctx.setConnected(process, false);
  }

  resume(): void {
    if (this.running === null) return;
    const { clock, process } = this.running;
    this.ctx.network.setFrozen(process, false);
    this.ctx.setConnected(process, true);
    clock.resume();
  }

  protected abstract makeId(start: number): ProcessId;

  protected abstract makeMain(
    process: ProcessId,
    clock: PausableClock,
  ): { main: M; config: ConfigSource };
}
