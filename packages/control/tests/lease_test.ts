import assert from "node:assert/strict";
import { test } from "node:test";
import { endpointId, fence, ManualClock, processId, toWpError } from "@wisteriapick/core";
import type { Order } from "@wisteriapick/wire";
import { FenceGate, Lease, LEASE_TTL_MS, OrderPacer, readLeaseFence } from "../src/mod.ts";
import { MemoryStore, V1, V2 } from "./fixtures.ts";

const DUTY = "service-scribe";

function makeLease(store: MemoryStore, clock: ManualClock, name: string): Lease {
  return new Lease(store, clock, { duty: DUTY, process: processId(name) });
}

function makeOrder(f: number, version = V2): Order {
  const endpoint = endpointId("scribe-0");
  return {
    kind: "order",
    endpoint,
    fence: fence(f),
    version,
    model: "m",
    adapters: [],
    role: "serve",
  };
}

async function typeOf(work: Promise<unknown>): Promise<string | undefined> {
  return work.then(() => undefined, (e) => toWpError(e).type);
}

test("a lease is acquired by another process only after its whole ttl by that process's clock, with a higher fence", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const [a, b] = [makeLease(store, clock, "a"), makeLease(store, clock, "b")];
  assert.equal(await a.renewOrAcquire(), true);
  assert.equal(await b.renewOrAcquire(), false);
  clock.advance(LEASE_TTL_MS - 1);
  assert.equal(await b.renewOrAcquire(), false);
  clock.advance(1);
  assert.equal(await b.renewOrAcquire(), true);
  assert.equal(a.fence(), null);
  assert.deepEqual([b.fence(), await readLeaseFence(store, DUTY)], [2, 2]);
});

test("a slow write does not extend the lease, as its holder counts from before the write", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const a = makeLease(store, clock, "a");
  store.beforeWrite = async () => clock.advance(LEASE_TTL_MS);
  assert.equal(await a.renewOrAcquire(), false);
});

test("two processes never hold one lease at the same time, whatever their pauses", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const leases = ["a", "b", "c"].map((n) => makeLease(store, clock, n));
  let fences = 0;
  for (let i = 0; i < 600; i++) {
    // Each process is paused in turn for longer than the ttl.
    const awake = leases.filter((_, k) => (i + 37 * k) % 150 > 60);
    for (const lease of awake) await lease.renewOrAcquire();
    clock.advance(500);
    const holders = leases.filter((l) => l.fence() !== null);
    assert.ok(holders.length <= 1);
    for (const h of holders) {
      assert.ok(h.fence()! >= fences);
      fences = h.fence()!;
    }
  }
  assert.ok(fences > 3);
});

test("the outcome of a lease write whose response is lost is resolved by reading back", async () => {
  for (const fault of ["lost_after", "lost_before"] as const) {
    const clock = new ManualClock();
    const store = new MemoryStore(clock);
    const a = makeLease(store, clock, "a");
    store.writeFaults.push(fault);
    assert.equal(await a.renewOrAcquire(), fault === "lost_after");
    assert.equal(await a.renewOrAcquire(), true);
    store.writeFaults.push(fault);
    await a.renewOrAcquire();
    assert.equal(await a.renewOrAcquire(), true, "renewed or taken again");
    assert.equal(a.fence(), 1);
  }
});

// Guards against an endpoint that goes back to an old state, because a holder sent its order after it lost the lease.
test("orders of a paused holder are rejected in front of an endpoint that ignores the fence", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const [a, b] = [makeLease(store, clock, "a"), makeLease(store, clock, "b")];
  const gate = new FenceGate();
  let runs = V1;
  const send = async (o: Order) => void (runs = o.version);
  assert.equal(
    await typeOf(gate.apply(makeOrder(1), send)),
    "unreachable",
    "no fence is known yet",
  );
  await a.renewOrAcquire();
  gate.recordFence(await readLeaseFence(store, DUTY));
  const old = makeOrder(a.fence()!);
  // The holder is paused between its check and its order; the lease expires and another process acquires it.
  clock.advance(LEASE_TTL_MS);
  await b.renewOrAcquire();
  clock.advance(LEASE_TTL_MS);
  await b.renewOrAcquire();
  await gate.apply(makeOrder(b.fence()!, V1), send);
  assert.equal(await typeOf(gate.apply(old, send)), "fenced");
  assert.equal(runs, V1);
});

test("an order queued behind a slow one is checked again, and a late effect of an old order is corrected", async () => {
  const gate = new FenceGate();
  gate.recordFence(fence(1));
  const ordersSent: number[] = [];
  let release = () => {};
  const slow = gate.apply(makeOrder(1), () => new Promise<void>((r) => (release = r)));
  await Promise.resolve();
  const waiting = gate.apply(makeOrder(1), async (o) => void ordersSent.push(o.fence));
  const newer = gate.apply(makeOrder(2, V1), async (o) => void ordersSent.push(o.fence));
  const refused = typeOf(waiting);
  await Promise.resolve();
  release();
  await slow;
  assert.equal(await refused, "fenced");
  await newer;
  assert.deepEqual(ordersSent, [2]);
  const observed = { version: V2, model: "m", adapters: [], role: "serve", ready: true };
  assert.equal(gate.orderToResend(observed)?.version, V1);
  assert.equal(gate.orderToResend({ ...observed, version: V1 }), null);
});

test("orders are paced to the weight store, sent again, and stop when the endpoint reports its desired state", () => {
  const pacer = new OrderPacer({ fetchesPerSecond: 0.5, maxConcurrentLoads: 2 });
  for (let i = 0; i < 5; i++) {
    const endpoint = endpointId(`scribe-${i}`);
    pacer.setDesired({ endpoint, version: V2, model: "m", adapters: [], role: "serve" });
  }
  const ordersSent = new Map<string, number>();
  for (let t = 0; t <= 60_000; t += 500) {
    for (const o of pacer.takeDueOrders(fence(3), t)) {
      ordersSent.set(o.endpoint, (ordersSent.get(o.endpoint) ?? 0) + 1);
    }
    const started = ordersSent.size;
    assert.ok(started <= 1 + t / 2_000);
    assert.ok(started <= 2, "two endpoints load at a time and none has finished yet");
  }
  assert.ok([...ordersSent.values()].every((n) => n > 5), "orders are sent again");
  const endpoint = endpointId("scribe-0");
  pacer.recordOrderDone({
    kind: "order_done",
    endpoint,
    version: V2,
    ready: true,
    highestFence: fence(3),
  });
  assert.equal(pacer.pending().length, 4);
  pacer.recordRateLimit(10_000, 60_000);
  const fresh = pacer.takeDueOrders(fence(3), 62_000).filter((o) => !ordersSent.has(o.endpoint));
  assert.equal(fresh.length, 0);
  assert.equal(
    pacer.takeDueOrders(fence(3), 71_000).filter((o) => !ordersSent.has(o.endpoint)).length,
    1,
  );
});
