import assert from "node:assert/strict";
import { test } from "node:test";
import { type HostId, hostId, ManualClock, Rng, World, WpFailure } from "../src/mod.ts";

function makeWorld() {
  const world = new World({ clock: new ManualClock() });
  const { table } = world.registerTable<HostId, { slots: number }>("hosts");
  return { world, table };
}

// Guards against state that is inconsistent after an exception in the middle of an update.
test("a failed update leaves no partial writes", () => {
  const { world, table } = makeWorld();
  const a = hostId("a");
  world.update(() => table.set(a, { slots: 1 }));
  assert.throws(() =>
    world.update(() => {
      table.patch(a, { slots: 2 });
      table.set(hostId("b"), { slots: 3 });
      throw new Error("fault");
    })
  );
  assert.deepEqual([...table.entries()], [[a, { slots: 1 }]]);
});

test("an update that violates an invariant is rolled back", () => {
  const { world, table } = makeWorld();
  world.registerInvariant("slots", () => {
    const bad = [...table.rows()].some((row) => row.slots < 0);
    return bad ? "negative slots" : null;
  });
  assert.throws(() => world.update(() => table.set(hostId("a"), { slots: -1 })), WpFailure);
  assert.equal(table.size, 0);
});

// Guards against writes that could not be rolled back.
test("writes outside an update are rejected", () => {
  const { table } = makeWorld();
  assert.throws(() => table.set(hostId("a"), { slots: 1 }), WpFailure);
});

test("timers of the manual clock fire in order of time, including those set by other timers", () => {
  const clock = new ManualClock();
  const fired: string[] = [];
  clock.setTimer(20, () => fired.push("b"));
  clock.setTimer(10, () => {
    fired.push("a");
    clock.setTimer(5, () => fired.push("a2"));
  });
  clock.setTimer(15, () => fired.push("never"))();
  clock.advance(30);
  assert.deepEqual(fired, ["a", "a2", "b"]);
});

// Guards against experiments in which one more draw in one place changes the numbers everywhere else.
test("forks of a generator do not depend on the numbers already drawn", () => {
  const one = new Rng(7);
  const two = new Rng(7);
  two.next();
  assert.equal(one.fork("x").next(), two.fork("x").next());
});

test("ids with path characters and empty ids are rejected", () => {
  assert.throws(() => hostId("../etc"), WpFailure);
  assert.throws(() => hostId(""), WpFailure);
});
