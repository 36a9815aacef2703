/**
 * The first part of the relay benchmark: the link path alone.
 *
 * @module
 */
import { SystemClock } from "@wisteriapick/core";
import {
  connectLink,
  type LinkAcceptor,
  type Message,
  type SocketLink,
  type StreamHandler,
} from "@wisteriapick/wire";
import { CpuMeter, type CpuUse } from "./cpu.ts";
import { LoadThread } from "./load_thread.ts";
import { liveBytes } from "./memory.ts";
import { type LoadShape, pause, startLoad } from "./relay_load.ts";
import {
  benchIdentity,
  benchRun,
  CLUSTER_KEY,
  type SidesData,
  TOKEN_INTERVAL_MS,
} from "./relay_setup.ts";

const IGNORING_ACCEPTOR: LinkAcceptor = {
  onStream: () => ({ onMessage: () => {}, onClose: () => {} }),
  onNotify: () => {},
};
const WARM_UP_MS = 1_500;
const IDLE_STREAMS = 10_000;

/** The receiving ends of several links. */
class Receiver {
  tokens = 0;
  requests = 0;
  ended = 0;
  readonly #links: SocketLink[];
  #started = 0;

  constructor(links: SocketLink[]) {
    this.#links = links;
  }

  /** Connects to side stand-ins in a worker thread. */
  static async open(data: SidesData): Promise<{ receiver: Receiver; thread: LoadThread }> {
    const thread = new LoadThread("./relay_sides.js", data);
    const { addresses } = await thread.next("listening");
    const clock = new SystemClock();
    const links = [];
    for (const address of addresses) {
      const identity = benchIdentity("entry", 0);
      const options = {
        address,
        identity,
        clusterKey: CLUSTER_KEY,
        acceptor: IGNORING_ACCEPTOR,
        clock,
      };
      links.push(await connectLink(options));
    }
    return { receiver: new Receiver(links), thread };
  }

  get bytes(): number {
    return this.#links.reduce((sum, link) => sum + link.bytesReceived, 0);
  }

  /** Starts one generation; the links are used in round-robin order. */
  start(maxTokens: number): void {
    this.requests++;
    const n = this.#started++;
    const handler: StreamHandler = {
      onMessage: (msg: Message) => {
        if (msg.kind === "tokens") this.tokens += msg.items.length;
        else if (msg.kind === "end") stream.end();
      },
      onClose: () => void this.ended++,
    };
    const link = this.#links[n % this.#links.length]!;
    const stream = link.openStream(benchRun(n, maxTokens), handler);
  }

  close(): void {
    for (const link of this.#links) link.close();
  }
}

/** Measurements of one interval. */
export interface RelaySample extends CpuUse {
  readonly tokens: number;
  readonly requests: number;
  readonly bytes: number;
}

async function measureInterval(
  receiver: Receiver,
  thread: LoadThread,
  ms: number,
): Promise<RelaySample> {
  const meter = new CpuMeter(() => thread.cpuUs());
  await meter.start();
  const before = { tokens: receiver.tokens, requests: receiver.requests, bytes: receiver.bytes };
  await pause(ms);
  const tokens = receiver.tokens - before.tokens;
  const requests = receiver.requests - before.requests;
  const bytes = receiver.bytes - before.bytes;
  return { tokens, requests, bytes, ...await meter.stop() };
}

/** Measures the maximum token rate of one link over `streams` streams. */
export async function measureLinkLimit(streams: number, ms: number): Promise<RelaySample> {
  const { receiver, thread } = await Receiver.open({ sides: 1, intervalMs: 0 });
  for (let i = 0; i < streams; i++) receiver.start(Number.MAX_SAFE_INTEGER);
  await pause(WARM_UP_MS);
  const res = await measureInterval(receiver, thread, ms);
  receiver.close();
  await thread.close();
  return res;
}

/** Measures a steady load over several links. */
export async function measureLinkLoad(
  shape: LoadShape,
  { sides, seed, ms }: { sides: number; seed: number; ms: number },
): Promise<RelaySample> {
  const { receiver, thread } = await Receiver.open({ sides, intervalMs: TOKEN_INTERVAL_MS });
  const stop = startLoad(shape, seed, (tokens) => receiver.start(tokens));
  await pause(WARM_UP_MS);
  const res = await measureInterval(receiver, thread, ms);
  stop();
  receiver.close();
  await thread.close();
  return res;
}

/** Measures the bytes that one open, idle stream holds at the receiving end. */
export async function measureLinkMemory(): Promise<number> {
  const { receiver, thread } = await Receiver.open({ sides: 8, intervalMs: 3_600_000 });
  await pause(200);
  const before = liveBytes();
  for (let i = 0; i < IDLE_STREAMS; i++) receiver.start(1);
  await pause(1_000);
  const bytes = (liveBytes() - before) / IDLE_STREAMS;
  receiver.close();
  await thread.close();
  return bytes;
}
