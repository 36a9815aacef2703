import assert from "node:assert/strict";
import { test } from "node:test";
import { type HostId, hostId, ManualClock, Rng, World, WpFailure } from "../src/mod.ts";

function makeWorld() {
  const world = new World({ clock: new ManualClock() });
  const { table } = world.registerTable<HostId, { slots: number }>("hosts");
  return { world, table };
}

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

test("an update that breaks an invariant is rolled back", () => {
  const { world, table } = makeWorld();
  world.registerInvariant("slots", () => {
    const bad = [...table.rows()].some((row) => row.slots < 0);
    return bad ? "negative slots" : null;
  });
  assert.throws(() => world.update(() => table.set(hostId("a"), { slots: -1 })), WpFailure);
  assert.equal(table.size, 0);
});

test("writes outside an update are refused", () => {
  const { table } = makeWorld();
  assert.throws(() => table.set(hostId("a"), { slots: 1 }), WpFailure);
});

test("timers of the manual clock fire in order of time, also when set by another timer", () => {
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

test("forks of a generator do not depend on numbers drawn before", () => {
  const one = new Rng(7);
  const two = new Rng(7);
  two.next();
  assert.equal(one.fork("x").next(), two.fork("x").next());
});

test("ids with path or control characters are refused", () => {
  assert.throws(() => hostId("../etc"), WpFailure);
  assert.throws(() => hostId(""), WpFailure);
});
