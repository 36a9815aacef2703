import assert from "node:assert/strict";
import { test } from "node:test";
import { RETAIN_ORDERS_MS, RetainedObjects } from "../src/state/retained_objects.ts";
import { NO_OUTAGE, type StoreOutage } from "../src/state/store_outage.ts";
import { KindView } from "../src/state/store_view.ts";
import { makeSnapshot } from "./fixtures.ts";

/** Orders a and b in the first era, of which a restored store shows what `restore` is given. */
function makeOrders() {
  const view = new KindView<string>();
  const retained = new RetainedObjects({ view, isSameOrder: (x: string, y: string) => x === y });
  const ends: string[] = [];
  const state = { now: 0 };
  view.registerListener(({ isRestored }) => {
    for (const [name, end] of retained.update(isRestored, state.now)) ends.push(`${name} ${end}`);
  });
  view.replace(makeSnapshot(10, { a: "a1", b: "b1" }, 10, 1), "store");
  const restore = (era: number, values: Record<string, string>) =>
    view.replace(makeSnapshot(4, values, 4, era), "store");
  const write = (revision: number, name: string, value: string | null) => {
    const item = value === null ? null : { revision, value };
    view.apply({ era: view.era, revision, events: [{ name, item }] }, "store");
  };
  const expire = (now: number, outage: StoreOutage = NO_OUTAGE) => {
    state.now = now;
    for (const [name, end] of retained.expire(now, outage)) ends.push(`${name} ${end}`);
  };
  const values = () =>
    Object.fromEntries([...retained.inForce].map(([name, { value }]) => [name, value]));
  return { restore, write, expire, values, ends };
}

// Guards against an order that ends when a restored store does not show it.
test("an order that a restored store lacks is in force until its time is over", () => {
  const { restore, expire, values, ends } = makeOrders();
  restore(2, { a: "a1" });
  assert.deepEqual(values(), { a: "a1", b: "b1" });
  expire(RETAIN_ORDERS_MS - 1);
  assert.deepEqual(values(), { a: "a1", b: "b1" });
  expire(RETAIN_ORDERS_MS);
  assert.deepEqual(values(), { a: "a1" });
  assert.deepEqual(ends, ["b not_written_again"]);
});

// Guards against an earlier order that comes into force again when a restored store shows it.
test("an earlier order that a restored store shows is not in force", () => {
  const { restore, write, values, ends } = makeOrders();
  restore(2, { a: "a0", b: "b1" });
  assert.deepEqual(values(), { a: "a1", b: "b1" });
  write(5, "a", "a1");
  assert.deepEqual(values(), { a: "a1", b: "b1" });
  assert.deepEqual(ends, ["a written_again"]);
});

// Guards against orders that are taken back or replaced after a restore and stay in force.
test("a change after the restore counts at once", () => {
  const { restore, write, values } = makeOrders();
  restore(2, { a: "a0" });
  write(5, "a", "a2");
  assert.deepEqual(values(), { a: "a2", b: "b1" });
  write(6, "b", "b2");
  write(7, "b", null);
  assert.deepEqual(values(), { a: "a2" });
});

// Guards against orders that are lost when the store is restored again before they were written again.
test("a second restore begins the time anew", () => {
  const { restore, expire, values } = makeOrders();
  restore(2, { a: "a1" });
  expire(3_000);
  restore(3, {});
  expire(7_000);
  assert.deepEqual(values(), { a: "a1", b: "b1" });
  expire(3_000 + RETAIN_ORDERS_MS);
  assert.deepEqual(values(), {});
});

// Guards against an order that ends although its owner could not write it again.
test("the time of a lost order does not run while the store is away", () => {
  const { restore, expire, values } = makeOrders();
  restore(2, { a: "a1" });
  expire(20_000, { isDown: true, endedAtMs: -Infinity });
  assert.deepEqual(values(), { a: "a1", b: "b1" });
  expire(24_000, { isDown: false, endedAtMs: 20_000 });
  assert.deepEqual(values(), { a: "a1", b: "b1" });
  expire(25_000, { isDown: false, endedAtMs: 20_000 });
  assert.deepEqual(values(), { a: "a1" });
});
