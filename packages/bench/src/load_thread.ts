/**
 * A worker thread that makes load.
 *
 * @module
 */
import { Worker } from "node:worker_threads";
import type { Ask, Tell, ThreadCount } from "./relay_setup.ts";

/** One worker and what it tells. */
export class LoadThread {
  readonly #worker: Worker;
  readonly #waiting: { kind: Tell["kind"]; resolve: (msg: Tell) => void }[] = [];
  #onEnded: (msg: Extract<Tell, { kind: "ended" }>) => void = () => {};

  constructor(module: string, data: unknown) {
    // The workers run without the flags of this process, so that a CPU profile holds the measured thread only.
    this.#worker = new Worker(new URL(module, import.meta.url), { workerData: data, execArgv: [] });
    this.#worker.on("message", (msg: Tell) => this.#receive(msg));
    this.#worker.on("error", (e) => {
      throw e;
    });
  }

  onEnded(fn: (msg: Extract<Tell, { kind: "ended" }>) => void): void {
    this.#onEnded = fn;
  }

  send(msg: Ask): void {
    this.#worker.postMessage(msg);
  }

  /** Resolves with the next message of a kind. */
  next<K extends Tell["kind"]>(kind: K): Promise<Extract<Tell, { kind: K }>> {
    return new Promise((resolve) => {
      this.#waiting.push({ kind, resolve: resolve as (msg: Tell) => void });
    });
  }

  /** What the thread has used and received so far. */
  async count(): Promise<ThreadCount> {
    const answer = this.next("cpu");
    this.send({ kind: "cpu" });
    return await answer;
  }

  /** CPU microseconds of the thread so far. */
  async cpuUs(): Promise<number> {
    return (await this.count()).us;
  }

  async close(): Promise<void> {
    await this.#worker.terminate();
  }

  #receive(msg: Tell): void {
    if (msg.kind === "ended") return this.#onEnded(msg);
    const index = this.#waiting.findIndex((w) => w.kind === msg.kind);
    if (index >= 0) this.#waiting.splice(index, 1)[0]!.resolve(msg);
  }
}
