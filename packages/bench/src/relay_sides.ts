/**
 * Side stand-ins of the relay benchmark, in a worker thread: each sends one token to all its generations at each step,
 * as an engine that batches continuously does.
 *
 * @module
 */
import { parentPort, workerData } from "node:worker_threads";
import { SystemClock } from "@wisteriapick/core";
import { type LinkAcceptor, type LinkStream, listenLinks, type Run } from "@wisteriapick/wire";
import { threadCpuUs } from "./cpu.ts";
import {
  type Ask,
  benchIdentity,
  benchLoad,
  CLUSTER_KEY,
  type SidesData,
  type Tell,
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
    // Steps of different sides are spread over the interval, as those of independent engines are.
    const phaseMs = intervalMs * (side * 0.618 % 1);
    if (intervalMs > 0) this.#arm(performance.now() + phaseMs);
  }

  onNotify(): void {}

  onStream(_link: unknown, msg: { kind: string }, stream: LinkStream) {
    const generation = { run: msg as Run, stream, sent: 0 };
    stream.send({ kind: "admitted", load: this.#load(), about: generation.run.gen });
    this.#running.add(generation);
    if (this.#intervalMs === 0) setImmediate(() => this.#flood(generation));
    return {
      onMessage: () => {},
      onClose: () => void this.#running.delete(generation),
      onDrain: () => this.#intervalMs === 0 && this.#flood(generation),
    };
  }

  #load() {
    return benchLoad(this.#side, this.#running.size, ++this.#seq);
  }

  /** Steps at fixed times; a late step does not shift the following ones. */
  #arm(atMs: number): void {
    setTimeout(() => {
      for (const generation of this.#running) this.#step(generation);
      this.#arm(atMs + this.#intervalMs);
    }, atMs - performance.now());
  }

  #flood(generation: Generation): void {
    while (this.#running.has(generation) && this.#step(generation));
  }

  #step(generation: Generation): boolean {
    const { run, stream } = generation;
    const offset = generation.sent++;
    const items = [TOKENS[offset % TOKENS.length]!];
    const more = stream.send({ kind: "tokens", offset, items, about: run.gen });
    if (generation.sent === run.maxTokens) this.#end(generation);
    return more;
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
const tell = (msg: Tell) => port.postMessage(msg);
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
port.on("message", (msg: Ask) => {
  if (msg.kind === "cpu") tell({ kind: "cpu", us: threadCpuUs(), tokens: 0, bytes: 0 });
  if (msg.kind === "exit") process.exit();
});
tell({ kind: "listening", addresses });
