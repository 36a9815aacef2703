/**
 * Side stand-ins of the relay benchmark, in a worker thread. Each sends one token to each of its generations per step,
 * like an engine with continuous batching.
 *
 * @module
 */
import { parentPort, workerData } from "node:worker_threads";
import { SystemClock } from "@wisteriapick/core";
import { type LinkAcceptor, type LinkStream, listenLinks, type Run } from "@wisteriapick/wire";
import { threadCpuUs } from "./cpu.ts";
import {
  benchIdentity,
  benchLoad,
  CLUSTER_KEY,
  type LoadThreadCommand,
  type LoadThreadMessage,
  type SidesData,
} from "./relay_setup.ts";

const TOKENS = [
  " kente",
  " and",
  " the",
  " wax-print",
  " in",
  " blue",
  ",",
  " hand-cut",
  " of",
  ".",
];

interface Generation {
  readonly run: Run;
  readonly stream: LinkStream;
  sent: number;
}

/** One side stand-in. */
class SideStandIn implements LinkAcceptor {
  readonly #side: number;
  readonly #intervalMs: number;
  readonly #running = new Set<Generation>();
  #seq = 0;

  constructor(side: number, { intervalMs }: SidesData) {
    this.#side = side;
    this.#intervalMs = intervalMs;
    // Offsets the steps of the sides within the interval, like those of independent engines.
    const phaseMs = intervalMs * (side * 0.618 % 1);
    if (intervalMs > 0) this.#scheduleStep(performance.now() + phaseMs);
  }

  onNotify(): void {}

  onStream(_link: unknown, msg: { kind: string }, stream: LinkStream) {
    const generation = { run: msg as Run, stream, sent: 0 };
    stream.send({ kind: "admitted", load: this.#load(), about: generation.run.gen });
    this.#running.add(generation);
    if (this.#intervalMs === 0) setImmediate(() => this.#sendUntilBlocked(generation));
    return {
      onMessage: () => {},
      onClose: () => void this.#running.delete(generation),
      onDrain: () => this.#intervalMs === 0 && this.#sendUntilBlocked(generation),
    };
  }

  #load() {
    return benchLoad(this.#side, this.#running.size, ++this.#seq);
  }

  /** Schedules the next step at a fixed time; a late step does not delay the following ones. */
  #scheduleStep(atMs: number): void {
    setTimeout(() => {
      for (const generation of this.#running) this.#sendToken(generation);
      this.#scheduleStep(atMs + this.#intervalMs);
    }, atMs - performance.now());
  }

  #sendUntilBlocked(generation: Generation): void {
    while (this.#running.has(generation) && this.#sendToken(generation));
  }

  #sendToken(generation: Generation): boolean {
    const { run, stream } = generation;
    const offset = generation.sent++;
    const items = [TOKENS[offset % TOKENS.length]!];
    const hasCredit = stream.send({ kind: "tokens", offset, items, about: run.gen });
    if (generation.sent === run.maxTokens) this.#end(generation);
    return hasCredit;
  }

  #end(generation: Generation): void {
    const { run, stream } = generation;
    this.#running.delete(generation);
    stream.send({
      kind: "end",
      reason: "length",
      promptTokens: run.promptTokens,
      cachedTokens: 0,
      completionTokens: run.maxTokens,
      load: this.#load(),
      about: run.gen,
    });
    stream.end();
  }
}

const port = parentPort!;
const postMessage = (msg: LoadThreadMessage) => port.postMessage(msg);
const data = workerData as SidesData;
const clock = new SystemClock();
const addresses = [];
for (let side = 0; side < data.sides; side++) {
  const listener = await listenLinks({
    address: { host: "127.0.0.1", port: 0 },
    identity: benchIdentity("side", side),
    clusterKey: CLUSTER_KEY,
    acceptor: new SideStandIn(side, data),
    clock,
  });
  addresses.push(listener.address);
}
port.on("message", (msg: LoadThreadCommand) => {
  if (msg.kind === "cpu") postMessage({ kind: "cpu", us: threadCpuUs(), tokens: 0, bytes: 0 });
  if (msg.kind === "exit") process.exit();
});
postMessage({ kind: "listening", addresses });
