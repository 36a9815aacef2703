import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { Clock, ManualClock, Rng, type Undo, type WpError } from "@wisteriapick/core";
import {
  connectLink,
  HEARTBEAT_MS,
  HEARTBEAT_TIMEOUT_MS,
  LinkPool,
  listenLinks,
  type PoolEvent,
  type SocketLink,
} from "../src/mod.ts";
import {
  closeCounts,
  closed,
  connectOptions,
  listenOptions,
  makeRecorder,
  makeResume,
  makeTokens,
  recordStream,
  until,
} from "./fixtures.ts";
import { encodeMessage } from "../src/stream.ts";
import { connectAuthenticated, framed, Relay } from "./raw_peer.ts";

/** Starts a listener behind a relay that can stop forwarding. */
async function makeScene(t: TestContext) {
  const recorder = makeRecorder();
  const listener = await listenLinks(listenOptions({ acceptor: recorder.acceptor }));
  const relay = new Relay(listener.address);
  const address = await relay.listen();
  t.after(async () => {
    relay.close();
    await listener.close();
  });
  return { recorder, listener, relay, address };
}

/** A clock that simulates a paused process: time jumps, then all timers fire once. */
class PausedClock extends Clock {
  #now = 0;
  #timers: (() => void)[] = [];

  now(): number {
    return this.#now;
  }

  wall(): number {
    return this.#now;
  }

  setTimer(_ms: number, fn: () => void): Undo {
    this.#timers.push(fn);
    return () => this.#timers = this.#timers.filter((timer) => timer !== fn);
  }

  jump(ms: number): void {
    this.#now += ms;
    const due = this.#timers;
    this.#timers = [];
    for (const fn of due) fn();
  }
}

test("an idle link stays open while the peer answers pings", async (t) => {
  const { address } = await makeScene(t);
  const clock = new ManualClock();
  const link = await connectLink(connectOptions(address, { clock }));
  t.after(() => link.close());
  for (let i = 0; i < 20; i++) {
    clock.advance(HEARTBEAT_MS);
    await until(() => link.lastReceivedMs === clock.now());
  }
  assert.equal(link.open, true);
});

// Guards against pings that cost bandwidth and wake-ups although received frames already show that the peer is alive.
test("an end that receives messages sends no pings", async (t) => {
  const { address, recorder, listener } = await makeScene(t);
  const clock = new ManualClock();
  const link = await connectLink(connectOptions(address, { clock }));
  t.after(() => link.close());
  await until(() => listener.links.size === 1);
  const [accepted] = [...listener.links] as SocketLink[];
  const bytesOfOneMessage = async () => {
    const before = accepted!.bytesReceived;
    const opened = recorder.streams.length + 1;
    link.openStream(makeResume(), recordStream().handler);
    await until(() => recorder.streams.length === opened);
    return accepted!.bytesReceived - before;
  };
  const alone = await bytesOfOneMessage();
  const before = accepted!.bytesReceived;
  for (let i = 0; i < 10; i++) {
    clock.advance(HEARTBEAT_MS / 2);
    accepted!.notify(makeResume());
    await until(() => link.lastReceivedMs === clock.now());
  }
  await bytesOfOneMessage();
  assert.equal(accepted!.bytesReceived - before, alone, "only the message was sent");
});

// Guards against links that stay open after the network drops packets without closing the connection.
test("a silent connection is closed with heartbeat_timeout, along with its streams", async (t) => {
  const { address, relay, recorder } = await makeScene(t);
  const clock = new ManualClock();
  const options = connectOptions(address, { clock });
  const link = await connectLink(options);
  const stream = recordStream();
  link.openStream(makeResume(), stream.handler);
  await until(() => recorder.streams.length === 1);
  relay.silence();
  clock.advance(HEARTBEAT_TIMEOUT_MS);
  assert.equal(link.open, true);
  clock.advance(HEARTBEAT_MS);
  const err = await closed(link);
  assert.equal(err.type === "link" && err.reason, "heartbeat_timeout");
  assert.equal(stream.closes.length, 1);
  assert.deepEqual(await closeCounts(options.metrics), { heartbeat_timeout: 1 });
});

test("the accepting end also closes a silent connection", async (t) => {
  const clock = new ManualClock();
  const options = listenOptions({ clock });
  const listener = await listenLinks(options);
  const relay = new Relay(listener.address);
  t.after(async () => {
    relay.close();
    await listener.close();
  });
  const link = await connectLink(connectOptions(await relay.listen()));
  t.after(() => link.close());
  await until(() => listener.links.size === 1);
  relay.silence();
  clock.advance(HEARTBEAT_TIMEOUT_MS + HEARTBEAT_MS);
  assert.equal(listener.links.size, 0);
  assert.deepEqual(await closeCounts(options.metrics), { heartbeat_timeout: 1 });
});

test("a pool replaces a silent link by a new connection to the same address", async (t) => {
  const { address, relay, recorder } = await makeScene(t);
  const clock = new ManualClock();
  const pool = new LinkPool({ ...connectOptions(address, { clock }), rng: new Rng(5) });
  t.after(() => pool.close());
  const events: PoolEvent[] = [];
  pool.registerListener((event) => events.push(event));
  pool.keep(address);
  const first = await pool.ready(address);
  relay.silence();
  clock.advance(HEARTBEAT_TIMEOUT_MS + HEARTBEAT_MS);
  assert.equal(pool.get(address), null);
  assert.equal(reasonOf(events.find((event) => event.type === "down")?.err), "heartbeat_timeout");
  clock.advance(100);
  const second = await pool.ready(address) as SocketLink;
  assert.notEqual(second, first);
  const stream = recordStream();
  second.openStream(makeResume("after"), stream.handler);
  await until(() => recorder.streams.length === 1);
  assert.deepEqual(events.map((event) => event.type), ["up", "down", "up"]);
});

// Guards against closing a healthy link while a large frame takes longer than the timeout to arrive.
test("a link on which a large frame arrives slowly stays open", async (t) => {
  const clock = new ManualClock();
  const recorder = makeRecorder();
  const listener = await listenLinks(listenOptions({ acceptor: recorder.acceptor, clock }));
  t.after(() => listener.close());
  const socket = await connectAuthenticated(listener.address);
  t.after(() => socket.destroy());
  await until(() => listener.links.size === 1);
  const [link] = [...listener.links];
  const frame = framed(encodeMessage(0, makeTokens(0, "x".repeat(10_000))));
  const parts = Math.ceil(2 * HEARTBEAT_TIMEOUT_MS / HEARTBEAT_MS);
  const partBytes = Math.ceil(frame.length / parts);
  for (let i = 0; i < parts; i++) {
    const before = link!.bytesReceived;
    socket.write(frame.subarray(i * partBytes, (i + 1) * partBytes));
    await until(() => link!.bytesReceived > before || !link!.open);
    assert.equal(link!.open, true);
    clock.advance(HEARTBEAT_MS);
  }
  await until(() => recorder.notes.length === 1);
});

// Guards against a process that closes all its links after a pause, as its timers run before the frames that
// arrived during the pause are read.
test("a process that was paused does not close the links to its peers", async (t) => {
  const { address, relay } = await makeScene(t);
  const clock = new PausedClock();
  const link = await connectLink(connectOptions(address, { clock }));
  t.after(() => link.close());
  clock.jump(30_000);
  assert.equal(link.open, true);
  await until(() => link.lastReceivedMs === clock.now());
  relay.silence();
  for (let i = 0; i < 5; i++) clock.jump(HEARTBEAT_MS);
  assert.equal(link.open, false);
});

// Guards against many processes that reconnect at the same time after a loss, and against delays above the maximum.
test("a pool that cannot connect backs off exponentially up to a maximum, reproducibly by seed", async (t) => {
  const { listener } = await makeScene(t);
  await listener.close();
  const waits = async (seed: number) => {
    const clock = new ManualClock();
    const address = listener.address;
    const pool = new LinkPool({ ...connectOptions(address, { clock }), rng: new Rng(seed) });
    let downs = 0;
    pool.registerListener(() => downs++);
    pool.keep(address);
    const times: number[] = [];
    for (let n = 1; n <= 9; n++) {
      await until(() => downs === n);
      const before = clock.now();
      while (clock.step() && clock.now() === before);
      times.push(clock.now() - before);
    }
    pool.close();
    return times;
  };
  const first = await waits(3);
  assert.deepEqual(await waits(3), first);
  assert.notDeepEqual(await waits(4), first);
  for (const [n, wait] of first.entries()) assert.ok(wait <= Math.min(5_000, 100 * 2 ** n));
});

test("a pool holds one link per address until its last holder releases it", async (t) => {
  const { address, listener } = await makeScene(t);
  const clock = new ManualClock();
  const pool = new LinkPool({ ...connectOptions(address, { clock }), rng: new Rng(1) });
  t.after(() => pool.close());
  const release = [pool.keep(address), pool.keep({ ...address })];
  const link = await pool.ready(address);
  await until(() => listener.links.size === 1);
  release[0]!();
  release[0]!();
  assert.equal(pool.get(address), link);
  release[1]!();
  await until(() => listener.links.size === 0);
  assert.equal(link.open, false);
  assert.equal(pool.get(address), null);
});

function reasonOf(err: WpError | undefined): string | undefined {
  return err?.type === "link" ? err.reason : err?.type;
}
