/**
 * Base class of the entries and sides of a run: start, pause, resume and kill of a process.
 *
 * @module
 */
import type { ProcessId, Undo } from "@wisteriapick/core";
import { recordRevisions } from "./check_config.ts";
import type { RunContext } from "./context.ts";
import type { ConfigSource } from "@wisteriapick/control";
import { PausableClock } from "./pausable_clock.ts";

/** A process that is running. `M` is the type of the real process object. */
export interface RunningProcess<M> {
  readonly process: ProcessId;
  readonly clock: PausableClock;
  readonly main: M;
  readonly stopRecording: Undo;
}

/** A process that can be started again after it was killed; each start gets a new process id. */
export abstract class CheckProcess<M extends { close(): Promise<void> }> {
  protected readonly ctx: RunContext;
  protected running: RunningProcess<M> | null = null;
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
    this.running = {
      process,
      clock,
      main,
      stopRecording: recordRevisions(this.ctx, process, config),
    };
  }

  /** Ends the process at once. */
  kill(): void {
    if (this.running === null) return;
    const { process, main, stopRecording: undo } = this.running;
    const { network, recorder, clock } = this.ctx;
    recorder.record({ atMs: clock.now(), type: "process_killed", process });
    this.running = null;
    undo();
    network.kill(process);
    void main.close();
  }

  /** Holds back the process's timers and messages, as when the operating system pauses it. */
  pause(): void {
    if (this.running === null) return;
    const { clock, process } = this.running;
    clock.pause();
    this.ctx.network.setPaused(process, true);
    this.ctx.setConnected(process, false);
  }

  resume(): void {
    if (this.running === null) return;
    const { clock, process } = this.running;
    this.ctx.network.setPaused(process, false);
    this.ctx.setConnected(process, true);
    clock.resume();
  }

  protected abstract makeId(start: number): ProcessId;

  protected abstract makeMain(
    process: ProcessId,
    clock: PausableClock,
  ): { main: M; config: ConfigSource };
}
