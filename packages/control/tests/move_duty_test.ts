import assert from "node:assert/strict";
import { test } from "node:test";
import { dataCentreId, fence, ManualClock, processId, Rng, versionId } from "@wisteriapick/core";
import type { Evidence, Order } from "@wisteriapick/wire";
import {
  ConfigLog,
  decodeEntry,
  driverCandidates,
  evidenceIntervalMs,
  LEASE_TTL_MS,
  MoveDuty,
  MoveRouter,
  type PropagationMember,
} from "../src/mod.ts";
import {
  baseChanges,
  MemoryStore,
  MOVE,
  openMove,
  run,
  SCRIBE,
  V1,
  V2,
  write,
} from "./fixtures.ts";

const DEADLINE_MS = 1_200_000;

/** Entries that drive moves, each with its own state, over one store and one clock. */
async function makeEntries(count: number) {
  const clock = new ManualClock({ wallStart: 0 });
  const store = new MemoryStore(clock);
  const members: PropagationMember[] = Array.from({ length: count }, (_, i) => ({
    key: `entry-${i}`,
    dataCentre: dataCentreId("osu"),
    address: `entry-${i}`,
  }));
  const orders: { by: string; order: Order }[] = [];
  const duties = new Map<string, MoveDuty>();
  const entries = members.map((self) => {
    const rng = new Rng(3).fork(self.key);
    const log = new ConfigLog(store, clock, rng.fork("log"));
    const router = new MoveRouter(log.state, clock, processId(self.key));
    const sendEvidence = (to: PropagationMember, e: Evidence) => duties.get(to.key)?.onEvidence(e);
    const sendOrder = async (order: Order) => {
      orders.push({ by: self.key, order });
      const { endpoint, version } = order;
      return {
        kind: "order_done" as const,
        endpoint,
        version,
        ready: true,
        highestFence: order.fence,
      };
    };
    const dependencies = { sendEvidence, sendOrder };
    const process = processId(self.key);
    const duty = new MoveDuty({
      self,
      process,
      store,
      log,
      router,
      clock,
      rng,
      dependencies,
      orders: { fetchesPerSecond: 10 },
    });
    duty.setEntries(members);
    duties.set(self.key, duty);
    return { self, log, router, duty, stop: () => {} };
  });
  const propagate = () => {
    for (const [key, obj] of store.objects) {
      if (!key.startsWith("config/log/")) continue;
      for (const e of entries) e.log.state.applyEntry(decodeEntry(obj.value));
    }
    for (const e of entries) e.log.state.recordProof(clock.now());
  };
  await write(entries[0]!.log, "base", [
    ...baseChanges(),
    openMove({ deadlineMs: DEADLINE_MS, share: 0.5 }),
  ]);
  propagate();
  // Stopping the timer pauses an entry, which then releases no lease.
  for (const e of entries) e.stop = clock.setRepeating(500, () => void e.duty.tick());
  return { clock, store, members, entries, orders, propagate };
}

// Guards against a takeover that starts without the evidence collected before, and against two drivers.
test("one candidate drives a service, another takes over with a higher fence, and no evidence is lost", async () => {
  const s = await makeEntries(5);
  await run(s.clock, 3_000);
  const drivers = () => s.entries.filter((e) => e.duty.drivenServices().includes(SCRIBE));
  assert.equal(drivers().length, 1);
  const first = drivers()[0]!;
  assert.ok(driverCandidates(SCRIBE, s.members).some((m) => m.key === first.self.key));
  const base = { service: SCRIBE, route: "/", loadLevel: "low" as const };
  for (let i = 0; i < 200; i++) {
    s.entries[i % 5]!.router.record({ ...base, version: V1, failed: false });
    s.entries[i % 5]!.router.record({ ...base, version: V2, failed: false });
  }
  await run(s.clock, 3_000);
  // The driver is paused; the other candidates have its evidence too.
  first.stop();
  for (const e of s.entries) {
    for (let i = 0; i < 6; i++) {
      e.router.record({ ...base, version: V1, failed: false });
      e.router.record({ ...base, version: V2, failed: true });
    }
  }
  await run(s.clock, 3 * LEASE_TTL_MS);
  const second = drivers().filter((e) => e !== first);
  assert.equal(second.length, 1);
  s.propagate();
  assert.equal(second[0]!.log.state.current().moves.get(MOVE)!.state, "taken_back");
  const fences = s.orders.map((o) => o.order.fence);
  assert.deepEqual([...fences].sort((a, b) => a - b), fences, "fences never decrease");
  assert.ok(fences.at(-1)! >= fence(1));
});

test("orders follow the configuration and stop when endpoints run their desired state", async () => {
  const s = await makeEntries(3);
  await run(s.clock, 5_000);
  assert.deepEqual(new Set(s.orders.map((o) => o.order.version)), new Set([versionId("v1")]));
  assert.equal(s.orders.length, 6);
  await run(s.clock, 20_000);
  assert.equal(s.orders.length, 6, "endpoints in their desired state get no more orders");
});

test("with many entries each one reports less often, so that a driver receives a bounded rate of evidence", () => {
  assert.equal(evidenceIntervalMs(3), 500);
  assert.equal(960 * 250 / (evidenceIntervalMs(960) / 1_000), 3_000);
});
