/**
 * A worker thread that generates load.
 *
 * @module
 */
import { Worker } from "node:worker_threads";
import type { LoadThreadCommand, LoadThreadMessage, ThreadCounts } from "./relay_setup.ts";

/** A worker thread and the messages that it sends. */
export class LoadThread {
  readonly #worker: Worker;
  readonly #waiters: {
    kind: LoadThreadMessage["kind"];
    resolve: (msg: LoadThreadMessage) => void;
  }[] = [];
  #onEnded: (msg: Extract<LoadThreadMessage, { kind: "ended" }>) => void = () => {};

  constructor(module: string, data: unknown) {
    // Workers don't inherit the flags of this process, so that a CPU profile covers the measured thread only.
    this.#worker = new Worker(new URL(module, import.meta.url), { workerData: data, execArgv: [] });
    this.#worker.on("message", (msg: LoadThreadMessage) => this.#receive(msg));
    this.#worker.on("error", (e) => {
      throw e;
    });
  }

  onEnded(fn: (msg: Extract<LoadThreadMessage, { kind: "ended" }>) => void): void {
    this.#onEnded = fn;
  }

  send(msg: LoadThreadCommand): void {
    this.#worker.postMessage(msg);
  }

  /** Resolves with the next message of the given kind. */
  next<K extends LoadThreadMessage["kind"]>(
    kind: K,
  ): Promise<Extract<LoadThreadMessage, { kind: K }>> {
    return new Promise((resolve) => {
      this.#waiters.push({ kind, resolve: resolve as (msg: LoadThreadMessage) => void });
    });
  }

  /** Returns the CPU time that the thread has used and the tokens and bytes that it has received. */
  async count(): Promise<ThreadCounts> {
    const counts = this.next("cpu");
    this.send({ kind: "cpu" });
    return await counts;
  }

  /** Returns the CPU time of the thread so far, in microseconds. */
  async cpuUs(): Promise<number> {
    return (await this.count()).us;
  }

  async close(): Promise<void> {
    await this.#worker.terminate();
  }

  #receive(msg: LoadThreadMessage): void {
    if (msg.kind === "ended") return this.#onEnded(msg);
    const index = this.#waiters.findIndex((w) => w.kind === msg.kind);
    if (index >= 0) this.#waiters.splice(index, 1)[0]!.resolve(msg);
  }
}
