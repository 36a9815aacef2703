import assert from "node:assert/strict";
import { test } from "node:test";
import {
  accountId,
  type Clock,
  dataCentreId,
  endpointId,
  generationId,
  hostId,
  ManualClock,
  processId,
  requestId,
  revision,
  serviceId,
  type Undo,
  versionId,
} from "@wisteriapick/core";
import { TokenCursor } from "@wisteriapick/delivery";
import {
  type Call,
  type EndpointLoad,
  type Identity,
  Link,
  LinkStream,
  type Message,
  type Resume,
  type StreamHandler,
} from "@wisteriapick/wire";
import { CallAttempt, type CallResponseSink } from "../src/call_attempt.ts";
import { followGeneration } from "../src/entry_follower.ts";
import { ResponseSink } from "../src/entry_sinks.ts";
import { LinkSource } from "../src/mod.ts";
import { ReplayableBody } from "../src/replayable_body.ts";

const GEN = generationId("g-1");
const LOAD: EndpointLoad = {
  endpoint: endpointId("e-1"),
  service: serviceId("s"),
  version: versionId("v1"),
  revision: revision(1),
  running: 0,
  queued: 0,
  allowance: 1,
  kvUsedTokens: 0,
  kvTotalTokens: 0,
  expectedWaitMs: 0,
  leaving: false,
  seq: 1,
};

class FakeStream extends LinkStream {
  paused = false;
  aborted = false;
  readonly sent: Message[] = [];
  send(msg: Message): boolean {
    this.sent.push(msg);
    return true;
  }
  end(): void {}
  abort(): void {
    this.aborted = true;
  }
  override pause(): void {
    this.paused = true;
  }
  override resume(): void {
    this.paused = false;
  }
}

/** A link whose peer is the test. */
class FakeLink extends Link {
  readonly peer: Identity = {
    role: "side",
    process: processId("side-1"),
    host: hostId("h-1"),
    dataCentre: dataCentreId("dc-1"),
  };
  open = true;
  readonly streams: { msg: Message; handler: StreamHandler; stream: FakeStream }[] = [];
  onOpen: (stream: FakeLink["streams"][number]) => void = () => {};
  openStream(msg: Message, handler: StreamHandler): LinkStream {
    const opened = { msg, handler, stream: new FakeStream() };
    this.streams.push(opened);
    this.onOpen(opened);
    return opened.stream;
  }
  notify(): void {}
  request(): Promise<Message> {
    return Promise.reject(new Error("not used"));
  }
  close(): void {}
  registerCloseListener(): Undo {
    return () => {};
  }
}

class SingleLinkSource extends LinkSource {
  constructor(readonly link: Link | null) {
    super();
  }
  async get(): Promise<Link> {
    if (this.link === null) throw new Error("not connected");
    return this.link;
  }
}

class CollectingSink extends ResponseSink {
  readonly isCommitted = true;
  readonly needsDrain: boolean = false;
  readonly items: string[] = [];
  begin(): void {}
  writeTokens(_offset: number, items: readonly string[]): void {
    this.items.push(...items);
  }
  end(): void {}
  fail(): void {}
  async waitForDrain(): Promise<void> {}
}

/** Advances the manual clock in steps and lets promise reactions run in between. */
async function advance(clock: ManualClock, ms: number): Promise<void> {
  for (let i = 0; i < ms; i += 10) {
    clock.advance(10);
    for (let turn = 0; turn < 10; turn++) await Promise.resolve();
  }
}

const LIMITS = {
  resumeWindowMs: 300,
  undeliveredWindowMs: 300,
  resumeBackoffMs: 10,
  idleTimeoutMs: 100,
};
const RESUME: Resume = { kind: "resume", gen: GEN, account: accountId("shop"), offset: 0 };

function follow(clock: Clock, links: LinkSource, sink: ResponseSink) {
  const gone = new AbortController().signal;
  const cursor = new TokenCursor(0);
  return followGeneration("a", RESUME, {
    clock,
    links,
    limits: LIMITS,
    sink,
    cursor,
    callerSignal: gone,
  });
}

// Guards against declaring a side lost that responds to every resume but has no tokens yet.
test("a side that acknowledges each resume is not given up while its engine is slow", async () => {
  const clock = new ManualClock();
  const link = new FakeLink();
  link.onOpen = ({ handler }) => handler.onMessage({ kind: "admitted", load: LOAD, about: GEN });
  const sink = new CollectingSink();
  const done = follow(clock, new SingleLinkSource(link), sink);
  await advance(clock, 3_000);
  const { handler } = link.streams.at(-1)!;
  handler.onMessage({ kind: "tokens", offset: 0, items: ["a", "b"], about: GEN });
  const usage = { promptTokens: 1, cachedTokens: 0, completionTokens: 2 };
  handler.onMessage({ kind: "end", reason: "stop", ...usage, load: LOAD, about: GEN });
  assert.equal((await done).type, "end");
  assert.deepEqual(sink.items, ["a", "b"]);
  assert.ok(link.streams.length > 10);
});

// Guards against resuming for ever at a side that accepts links but sends nothing.
test("a side that never responds counts as lost after the resume window", async () => {
  const clock = new ManualClock();
  const link = new FakeLink();
  const done = follow(clock, new SingleLinkSource(link), new CollectingSink());
  await advance(clock, 1_000);
  assert.equal((await done).type, "lost");
});

// Guards against resuming for ever at a side that cannot be connected to.
test("a side that no link can be opened to counts as lost after the resume window", async () => {
  const clock = new ManualClock();
  const done = follow(clock, new SingleLinkSource(null), new CollectingSink());
  await advance(clock, 1_000);
  assert.equal((await done).type, "lost");
});

/** A clock whose repeating timers fire only when the test says so, as after a stall of the process. */
class StalledClock extends ManualClock {
  readonly #repeating = new Set<() => void>();

  override setRepeating(_ms: number, fn: () => void): Undo {
    this.#repeating.add(fn);
    return () => this.#repeating.delete(fn);
  }

  /** Passes time in which the process does not run, after which its timers fire before its sockets are read. */
  stall(ms: number): void {
    this.advance(ms);
    for (const fn of [...this.#repeating]) fn();
  }

  get repeatingCount(): number {
    return this.#repeating.size;
  }
}

/** Lets promise reactions run. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve();
}

// Guards against breaking off every stream after a stall of the process: its timers fire before the messages are read
// that came meanwhile, and a side cancels a generation that is not resumed within its grace time.
test("a stream is kept whose messages waited for a stall of the process", async () => {
  const clock = new StalledClock();
  const link = new FakeLink();
  const sink = new CollectingSink();
  const done = follow(clock, new SingleLinkSource(link), sink);
  await settle();
  const { handler, stream } = link.streams[0]!;
  for (let i = 0; i < 4; i++) {
    clock.stall(10 * LIMITS.idleTimeoutMs);
    await settle();
    handler.onMessage({ kind: "tokens", offset: i, items: [`${i}`], about: GEN });
  }
  assert.equal(stream.aborted, false);
  const usage = { promptTokens: 1, cachedTokens: 0, completionTokens: 4 };
  handler.onMessage({ kind: "end", reason: "stop", ...usage, load: LOAD, about: GEN });
  assert.equal((await done).type, "end");
  assert.equal(link.streams.length, 1);
  assert.equal(clock.repeatingCount, 0);
});

// Guards against waiting for ever for a side that fell silent, once a single check proves nothing.
test("a stream on which nothing comes for two checks is resumed", async () => {
  const clock = new ManualClock();
  const link = new FakeLink();
  void follow(clock, new SingleLinkSource(link), new CollectingSink());
  await settle();
  await advance(clock, LIMITS.idleTimeoutMs + LIMITS.resumeBackoffMs + 10);
  assert.equal(link.streams.length, 2);
});

/** A sink whose caller reads nothing until the test says so. */
class HeldSink extends CollectingSink {
  override readonly needsDrain = true;
  drain: () => void = () => {};
  override waitForDrain(): Promise<void> {
    return new Promise((resolve) => this.drain = resolve);
  }
}

// Guards against a timer that is left behind for each response whose caller reads on after its end.
test("a caller that reads on after its response has ended leaves no timer", async () => {
  const clock = new StalledClock();
  const link = new FakeLink();
  const sink = new HeldSink();
  const done = follow(clock, new SingleLinkSource(link), sink);
  await settle();
  const { handler } = link.streams[0]!;
  handler.onMessage({ kind: "tokens", offset: 0, items: ["a"], about: GEN });
  const usage = { promptTokens: 1, cachedTokens: 0, completionTokens: 1 };
  handler.onMessage({ kind: "end", reason: "stop", ...usage, load: LOAD, about: GEN });
  assert.equal((await done).type, "end");
  sink.drain();
  await settle();
  assert.equal(clock.repeatingCount, 0);
});

function makeCall(): Call {
  return {
    kind: "call",
    req: requestId("r-1"),
    service: serviceId("counter"),
    version: versionId("v1"),
    account: accountId("shop"),
    weight: 1,
    method: "GET",
    path: "/blob",
    headers: [],
    repeatable: false,
    remainingMs: 5_000,
    attempt: 1,
    revision: revision(1),
    digest: "d",
  };
}

async function* emptyBody(): AsyncIterable<Buffer> {}

// Guards against taking a slow caller for a stalled service and aborting its call.
test("a caller that pauses for longer than the idle timeout still gets its complete response", async () => {
  const clock = new ManualClock();
  const link = new FakeLink();
  const received: string[] = [];
  let drain = () => {};
  const sink: CallResponseSink = {
    writeHead: (status) => received.push(String(status)),
    write: (bytes, onDrain) => {
      received.push(Buffer.from(bytes).toString());
      drain = onDrain;
      return false;
    },
    end: () => received.push("end"),
  };
  const attempt = new CallAttempt(link, makeCall(), {
    clock,
    body: new ReplayableBody(emptyBody()),
    sink,
    headTimeoutMs: 5_000,
    idleTimeoutMs: 100,
    callerSignal: new AbortController().signal,
  });
  const { handler, stream } = link.streams[0]!;
  const about = "r-1";
  handler.onMessage({ kind: "reply_head", status: 200, headers: [], load: LOAD, about });
  const chunk = { kind: "body", last: false, about } as const;
  handler.onMessage({ ...chunk, bytes: Buffer.from("one"), offset: 0 });
  assert.equal(stream.paused, true);
  await advance(clock, 1_000);
  assert.equal(stream.aborted, false);
  drain();
  assert.equal(stream.paused, false);
  handler.onMessage({ ...chunk, bytes: Buffer.alloc(0), offset: 3, last: true });
  assert.equal((await attempt.result).type, "answered");
  assert.deepEqual(received, ["200", "one", "end"]);
});

// Guards against losing every response after a stall of the process, as their bytes are read after its timers fired.
test("a response is kept whose bytes waited for a stall of the process", async () => {
  const clock = new StalledClock();
  const link = new FakeLink();
  const sink: CallResponseSink = { writeHead() {}, write: () => true, end() {} };
  const attempt = new CallAttempt(link, makeCall(), {
    clock,
    body: new ReplayableBody(emptyBody()),
    sink,
    headTimeoutMs: 5_000,
    idleTimeoutMs: 100,
    callerSignal: new AbortController().signal,
  });
  const { handler } = link.streams[0]!;
  const about = "r-1";
  handler.onMessage({ kind: "reply_head", status: 200, headers: [], load: LOAD, about });
  clock.stall(1_000);
  const bytes = Buffer.from("one");
  handler.onMessage({ kind: "body", bytes, offset: 0, last: false, about });
  clock.stall(1_000);
  handler.onMessage({ kind: "body", bytes: Buffer.alloc(0), offset: 3, last: true, about });
  assert.equal((await attempt.result).type, "answered");
  assert.equal(clock.repeatingCount, 0);
});

// Guards against a call that hangs when its service sends the response head and nothing more.
test("a response that stalls after its head is abandoned", async () => {
  const clock = new ManualClock();
  const link = new FakeLink();
  const sink: CallResponseSink = { writeHead() {}, write: () => true, end() {} };
  const attempt = new CallAttempt(link, makeCall(), {
    clock,
    body: new ReplayableBody(emptyBody()),
    sink,
    headTimeoutMs: 5_000,
    idleTimeoutMs: 100,
    callerSignal: new AbortController().signal,
  });
  const { handler } = link.streams[0]!;
  handler.onMessage({ kind: "reply_head", status: 200, headers: [], load: LOAD, about: "r-1" });
  await advance(clock, 200);
  assert.equal((await attempt.result).type, "lost");
});
