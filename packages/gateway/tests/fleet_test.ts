import assert from "node:assert/strict";
import { test } from "node:test";
import { endpointId, ManualClock } from "@wisteriapick/core";
import type { EndpointRecord } from "../src/config/types.ts";
import { Fleet } from "../src/state/fleet.ts";
import { readReceivedItems } from "../src/peers/received_items.ts";
import { NO_OUTAGE, type StoreOutage } from "../src/state/store_outage.ts";
import { StoreView } from "../src/state/store_view.ts";
import {
  ACCRA,
  makeConfig,
  makeEndpoint,
  makeRoutes,
  makeSnapshot,
  MemoryLog,
  OSU,
  SCRIBE,
  TEMA,
} from "./fixtures.ts";

function makeFleet() {
  const clock = new ManualClock();
  const view = new StoreView();
  const log = new MemoryLog();
  const state: { outage: StoreOutage } = { outage: NO_OUTAGE };
  const fleet = new Fleet({
    view,
    clock,
    log,
    regionOf: () => ACCRA,
    outage: () => state.outage,
  });
  return { clock, view, log, fleet, state };
}

const usable = (fleet: Fleet) => fleet.usable(SCRIBE, []).map((row) => row.record.id as string);

test("an endpoint that drains or loses its registration gets no new work", () => {
  const { view, fleet } = makeFleet();
  const { endpoints } = view.kinds;
  const [a, b, c] = [makeEndpoint("a"), makeEndpoint("b"), makeEndpoint("c")];
  endpoints.replace(makeSnapshot(1, { a, b, c }), "store");
  assert.deepEqual(usable(fleet), ["a", "b", "c"]);
  endpoints.replace(
    makeSnapshot(2, { a: makeEndpoint("a", { isDraining: true }), c }),
    "store",
  );
  assert.deepEqual(usable(fleet), ["c"]);
});

// Guards against losing all endpoints after an outage, before they have registered again.
test("endpoints whose registrations expired during a store outage are used until two seconds after it", () => {
  const { clock, view, fleet, state } = makeFleet();
  const { endpoints } = view.kinds;
  const [a, b] = [makeEndpoint("a"), makeEndpoint("b")];
  endpoints.replace(makeSnapshot(1, { a, b }), "store");
  clock.advance(10_000);
  state.outage = { isDown: false, endedAtMs: clock.now() };
  endpoints.replace(makeSnapshot(2, { a }), "store");
  assert.deepEqual(usable(fleet), ["a", "b"]);
  clock.advance(2_000);
  fleet.tick();
  assert.deepEqual(usable(fleet), ["a", "b"]);
  clock.advance(400);
  fleet.tick();
  assert.deepEqual(usable(fleet), ["a"]);
});

test("an endpoint that registers again within the grace period is used as before", () => {
  const { clock, view, fleet, state } = makeFleet();
  const { endpoints } = view.kinds;
  const [a, b] = [makeEndpoint("a"), makeEndpoint("b")];
  endpoints.replace(makeSnapshot(1, { a, b }), "store");
  state.outage = { isDown: false, endedAtMs: clock.now() };
  endpoints.replace(makeSnapshot(2, { a }), "store");
  clock.advance(1_500);
  endpoints.replace(makeSnapshot(3, { a, b }), "store");
  clock.advance(5_000);
  fleet.tick();
  assert.deepEqual(usable(fleet), ["a", "b"]);
});

// Guards against new work for an endpoint whose registration is gone because it has left.
test("an endpoint that drained before an outage does not count as lapsed", () => {
  const { clock, view, fleet, state } = makeFleet();
  const { endpoints } = view.kinds;
  const a = makeEndpoint("a", { isDraining: true });
  endpoints.replace(makeSnapshot(1, { a }), "store");
  state.outage = { isDown: false, endedAtMs: clock.now() };
  endpoints.replace(makeSnapshot(2, {}), "store");
  assert.deepEqual(usable(fleet), []);
});

// Guards against state of an earlier process that is used for the next one with its id.
test("another process with the same id is recognised by its start time", () => {
  const { view, fleet } = makeFleet();
  const restarts: string[] = [];
  fleet.registerEndpointListener(({ id, restarted }) => {
    if (restarted) restarts.push(id);
  });
  const { endpoints } = view.kinds;
  endpoints.replace(makeSnapshot(1, { a: makeEndpoint("a") }), "store");
  endpoints.replace(
    makeSnapshot(2, { a: makeEndpoint("a", { startedAtUnixMs: 1_700_000_000_005 }) }),
    "store",
  );
  assert.deepEqual(restarts, ["a"]);
});

// Guards against a restart that nobody made, which cuts all requests in progress at the endpoint (LOST).
test("an endpoint without a start time counts as the same process whoever has read it", () => {
  const { view, fleet } = makeFleet();
  const restarts: string[] = [];
  fleet.registerEndpointListener(({ id, restarted }) => {
    if (restarted) restarts.push(id);
  });
  const { endpoints } = view.kinds;
  const record = makeEndpoint("a", { startedAtUnixMs: null });
  endpoints.replace(makeSnapshot(1, { a: record }), "store");
  const { startedAtUnixMs: _, ...older } = record;
  const received = readReceivedItems([["a", { revision: 2, value: older }]], {
    kind: "endpoints",
    onUnreadable: () => {},
  });
  const events = received.map(([name, item]) => ({ name, item }));
  endpoints.apply({ era: 0, revision: 2, events }, "peer");
  assert.deepEqual(restarts, []);
});

// Guards against new work for a draining endpoint while the store is slow or unreachable.
test("an endpoint's own drain notice takes effect before the store has the change", () => {
  const { view, fleet, log } = makeFleet();
  view.kinds.endpoints.replace(makeSnapshot(1, { a: makeEndpoint("a") }), "store");
  fleet.markLeaving(endpointId("a"), { reason: "its own report", isOwnNotice: true });
  assert.deepEqual(usable(fleet), []);
  assert.equal(log.events.at(-1)?.fields.reason, "its own report");
});

test("endpoints in an evacuated data centre or another region are not usable", () => {
  const { view, fleet } = makeFleet();
  const a = makeEndpoint("a", { dataCentre: OSU });
  const b = makeEndpoint("b", { dataCentre: TEMA });
  view.kinds.endpoints.replace(makeSnapshot(1, { a, b }), "store");
  view.kinds.evacuations.replace(makeSnapshot(2, { tema: { dataCentre: TEMA } }), "store");
  assert.deepEqual(usable(fleet), ["a"]);
  assert.deepEqual(fleet.usable(SCRIBE, ["elsewhere" as typeof ACCRA]), []);
});

// Guards against going back to an old configuration when the store returns it at a later revision.
test("an older version of the configuration never replaces a newer one", () => {
  const { view, fleet } = makeFleet();
  const { config } = view.kinds;
  config.replace(makeSnapshot(1, { main: makeConfig({ version: 7 }) }), "store");
  config.replace(makeSnapshot(2, { main: makeConfig({ version: 5 }) }), "store");
  assert.equal(fleet.routes?.config.version, 7);
});

// Guards against serving with part of the state, for example before evacuations are known.
test("the fleet is not known until every kind has been read", () => {
  const { view, fleet } = makeFleet();
  view.kinds.config.replace(makeSnapshot(1, { main: makeConfig() }), "store");
  view.kinds.endpoints.replace(makeSnapshot(1, {}), "store");
  view.kinds.evacuations.replace(makeSnapshot(1, {}), "store");
  assert.equal(fleet.isKnown, false);
  view.kinds.moves.replace(makeSnapshot(1, {}), "store");
  assert.equal(fleet.isKnown, true);
});

// Guards against pauses in streams while the routes of a large configuration are indexed.
test("a large configuration is indexed over several turns, and the newest one wins", () => {
  const { clock, view, fleet } = makeFleet();
  view.kinds.endpoints.replace(makeSnapshot(1, {}), "store");
  view.kinds.evacuations.replace(makeSnapshot(1, {}), "store");
  view.kinds.moves.replace(makeSnapshot(1, {}), "store");
  const routes = makeRoutes(1_500);
  const write = (version: number) => {
    const main = makeConfig({ version, routes });
    view.kinds.config.replace(makeSnapshot(version, { main }), "store");
  };
  const find = () => fleet.routes?.find("shop.example", `${routes.at(-1)!.pathPrefix}x`);
  write(1);
  assert.equal(fleet.isKnown, false);
  clock.advance(1);
  assert.equal(fleet.isKnown, true);
  assert.equal(find()?.id, routes.at(-1)!.id);
  write(2);
  assert.equal(fleet.routes?.config.version, 1);
  assert.notEqual(find(), null);
  write(3);
  write(2);
  clock.advance(1);
  assert.equal(fleet.routes?.config.version, 3);
});

// Guards against a crash that is taken for a departure because its registration is removed before its connections end.
test("the end of an endpoint is planned after a notice, or the drain time after its registration was removed", () => {
  const { clock, view, fleet } = makeFleet();
  const { endpoints } = view.kinds;
  const [a, b] = [makeEndpoint("a"), makeEndpoint("b")];
  endpoints.replace(makeSnapshot(1, { a, b }), "store");
  assert.equal(fleet.isEndPlanned(a.id), false);
  endpoints.replace(makeSnapshot(2, { a: { ...a, isDraining: true } }), "store");
  assert.equal(fleet.isEndPlanned(a.id), true);
  assert.equal(fleet.isEndPlanned(b.id), false);
  clock.advance(2_000);
  assert.equal(fleet.isEndPlanned(b.id), true);
});

/** Lets the store hold the registrations of endpoint `a`, one after the other, and returns what remains in force. */
function registerInTurn(...parts: readonly Partial<EndpointRecord>[]) {
  const scene = makeFleet();
  parts.forEach((part, i) => {
    const a = makeEndpoint("a", part);
    scene.view.kinds.endpoints.replace(makeSnapshot(i + 1, { a }), "store");
  });
  return scene;
}

const START_MS = 1_700_000_000_000;

// Guards against work for a draining endpoint after the store has executed an older write of it (DRAIN).
test("an older write of a draining endpoint does not make it ready again", () => {
  const { fleet, log, view } = registerInTurn(
    { sequence: 5 },
    { sequence: 9, isDraining: true },
    { sequence: 5 },
  );
  assert.deepEqual(usable(fleet), []);
  assert.equal(log.count("registration_outdated"), 1);
  const a = makeEndpoint("a", { sequence: 10, isDraining: true });
  view.kinds.endpoints.replace(makeSnapshot(4, { a }), "store");
  assert.deepEqual(usable(fleet), []);
});

// Guards against work for an endpoint that is gone, as a late write has registered it once more.
test("an older write of an endpoint that is gone does not make it ready again", () => {
  const { fleet, view, clock } = registerInTurn({ sequence: 9 });
  view.kinds.endpoints.replace(makeSnapshot(2, {}), "store");
  const a = makeEndpoint("a", { sequence: 8 });
  view.kinds.endpoints.replace(makeSnapshot(3, { a }), "store");
  clock.advance(1_000);
  fleet.tick();
  assert.deepEqual(usable(fleet), []);
});

// Guards against closing the connections to a sound endpoint when a write of its former process is executed late.
test("a late write of a former process does not count as a restart", () => {
  const { fleet, view } = registerInTurn({}, { startedAtUnixMs: START_MS + 5_000 });
  const restarts: boolean[] = [];
  fleet.registerEndpointListener(({ restarted }) => void restarts.push(restarted));
  view.kinds.endpoints.replace(
    makeSnapshot(3, { a: makeEndpoint("a", { sequence: 90 }) }),
    "store",
  );
  assert.deepEqual(restarts, []);
  assert.equal(fleet.endpoints.get(endpointId("a"))!.record.startedAtUnixMs, START_MS + 5_000);
});

// Guards against never using an endpoint again whose host's time of day was set back before it started.
test("an outdated registration that is not replaced is accepted after some seconds", () => {
  const { fleet, clock, state } = registerInTurn(
    { startedAtUnixMs: START_MS, isDraining: true },
    { startedAtUnixMs: START_MS - 8_000 },
  );
  clock.advance(3_900);
  fleet.tick();
  assert.deepEqual(usable(fleet), []);
  state.outage = { isDown: true, endedAtMs: -Infinity };
  clock.advance(1_000);
  fleet.tick();
  assert.deepEqual(usable(fleet), []);
  state.outage = { isDown: false, endedAtMs: clock.now() - 4_000 };
  fleet.tick();
  assert.deepEqual(usable(fleet), ["a"]);
});

// Guards against work for an endpoint that has said that it leaves, as its registration does not say so (DRAIN).
test("an endpoint that has said that it leaves is not used until another process has its id", () => {
  const { fleet, view } = registerInTurn({ sequence: 1 });
  const register = (revision: number, part: Partial<EndpointRecord>) =>
    view.kinds.endpoints.replace(
      makeSnapshot(revision, { a: makeEndpoint("a", part) }),
      "store",
    );
  assert.equal(fleet.markLeaving(endpointId("a"), { reason: "test", isOwnNotice: true }), true);
  register(2, { sequence: 9, slots: 12 });
  assert.deepEqual(usable(fleet), []);
  register(3, { startedAtUnixMs: START_MS + 1 });
  assert.deepEqual(usable(fleet), ["a"]);
});

// Guards against an endpoint that is out of use for good because of what another endpoint has said.
test("a new registration undoes a mark that is not the endpoint's own notice", () => {
  const { fleet, view } = registerInTurn({ sequence: 1 });
  fleet.markLeaving(endpointId("a"), { reason: "test", isOwnNotice: false });
  assert.deepEqual(usable(fleet), []);
  const a = makeEndpoint("a", { sequence: 9 });
  view.kinds.endpoints.replace(makeSnapshot(2, { a }), "store");
  assert.deepEqual(usable(fleet), ["a"]);
});

// Guards against requests to an endpoint that has asked for a pause (BUDGET).
test("an endpoint that has asked for a pause is not used until it ends", () => {
  const { fleet, clock, view } = registerInTurn({});
  fleet.pause(endpointId("a"), 3_000);
  assert.deepEqual(usable(fleet), []);
  assert.equal(fleet.pausedForMs(SCRIBE, []), 3_000);
  fleet.pause(endpointId("a"), 1_000);
  clock.advance(2_999);
  assert.deepEqual(usable(fleet), []);
  clock.advance(1);
  assert.deepEqual(usable(fleet), ["a"]);
  assert.equal(fleet.pausedForMs(SCRIBE, []), null);
  fleet.pause(endpointId("a"), 60_000);
  const a = makeEndpoint("a", { startedAtUnixMs: START_MS + 1 });
  view.kinds.endpoints.replace(makeSnapshot(2, { a }), "store");
  assert.deepEqual(usable(fleet), ["a"]);
});

/** An endpoint's registration, and what a store shows that was restored from a copy with an earlier one. */
function makeRestoredFleet(known: Partial<EndpointRecord>, copied: Partial<EndpointRecord> | null) {
  const made = makeFleet();
  const { endpoints } = made.view.kinds;
  const record = (overrides: Partial<EndpointRecord>) =>
    makeEndpoint("a", { startedAtUnixMs: 1_700_000_000_000, ...overrides });
  endpoints.replace(makeSnapshot(10, { a: record(known) }, 10, 1), "store");
  made.clock.advance(10_000);
  const restore = () => {
    const values: Record<string, EndpointRecord> = {};
    if (copied !== null) values.a = record(copied);
    endpoints.replace(makeSnapshot(4, values, 4, 2), "store");
  };
  return { ...made, endpoints, record, restore };
}

// Guards against an endpoint that gets requests again when a restored store shows its registration from before it drained.
test("an endpoint that drains stays out, whatever earlier registration a restored store shows", () => {
  const { clock, fleet, endpoints, record, restore } = makeRestoredFleet(
    { isDraining: true, sequence: 20 },
    { sequence: 3 },
  );
  restore();
  assert.deepEqual(usable(fleet), []);
  clock.advance(6_000);
  fleet.tick();
  assert.deepEqual(usable(fleet), []);
  endpoints.apply({
    era: 2,
    revision: 9,
    events: [{ name: "a", item: { revision: 9, value: record({ sequence: 30 }) } }],
  }, "store");
  assert.deepEqual(usable(fleet), []);
  const restarted = record({ sequence: 1, startedAtUnixMs: 1_700_000_060_000 });
  endpoints.apply({
    era: 2,
    revision: 10,
    events: [{ name: "a", item: { revision: 10, value: restarted } }],
  }, "store");
  assert.deepEqual(usable(fleet), ["a"]);
});

// Guards against an endpoint that left without notice and gets requests again when a restored store still has it.
test("an endpoint whose registration was removed stays out until it writes again, or for five seconds", () => {
  for (const writes of [true, false]) {
    const { clock, fleet, endpoints, record, restore } = makeRestoredFleet(
      { sequence: 3 },
      { sequence: 3 },
    );
    endpoints.apply({ era: 1, revision: 11, events: [{ name: "a", item: null }] }, "store");
    clock.advance(1_000);
    restore();
    assert.deepEqual(usable(fleet), []);
    clock.advance(4_000);
    fleet.tick();
    assert.deepEqual(usable(fleet), []);
    if (writes) {
      const value = record({ sequence: 9 });
      const events = [{ name: "a", item: { revision: 9, value } }];
      endpoints.apply({ era: 2, revision: 9, events }, "store");
    } else {
      clock.advance(1_100);
      fleet.tick();
    }
    assert.deepEqual(usable(fleet), ["a"]);
  }
});

// Guards against an endpoint that left without notice and gets requests again, as a list has its last sequence, of which
// there was no event.
test("an endpoint whose registration was removed stays out when a restored list has a later sequence than the last event", () => {
  const { fleet, endpoints, restore } = makeRestoredFleet({ sequence: 3 }, { sequence: 9 });
  endpoints.apply({ era: 1, revision: 11, events: [{ name: "a", item: null }] }, "store");
  restore();
  assert.deepEqual(usable(fleet), []);
});

// Guards against requests to an endpoint that a peer has reported as leaving, as a restored store shows it once more.
test("a registration that a restored store shows again does not undo a mark that the endpoint leaves", () => {
  const { fleet, restore } = makeRestoredFleet({ sequence: 3 }, { sequence: 3 });
  fleet.markLeaving(endpointId("a"), { reason: "reported by entry-2", isOwnNotice: false });
  restore();
  assert.deepEqual(usable(fleet), []);
});

// Guards against endpoints that are lost at a restore, although the store was hardly away.
test("an endpoint that a restored store lacks is used until two seconds after the restore", () => {
  const { clock, fleet, restore } = makeRestoredFleet({ sequence: 3 }, null);
  restore();
  fleet.tick();
  assert.deepEqual(usable(fleet), ["a"]);
  clock.advance(2_400);
  fleet.tick();
  assert.deepEqual(usable(fleet), []);
});

// Guards against a registration that is taken for known, as its revision was given out again.
test("a registration at a revision that was given out again is read", () => {
  const { fleet, endpoints, record } = makeRestoredFleet({ sequence: 3 }, null);
  const draining = record({ sequence: 9, isDraining: true });
  endpoints.replace(makeSnapshot(10, { a: draining }, 10, 2), "store");
  assert.deepEqual(usable(fleet), []);
});

// Guards against a cold start that begins anew when a restored store shows the registration again.
test("a registration that a restored store shows again does not prolong the cold start", () => {
  const { clock, fleet, restore } = makeRestoredFleet(
    { sequence: 3, coldMs: 12_000 },
    { sequence: 3, coldMs: 12_000 },
  );
  restore();
  const [row] = fleet.ofService(SCRIBE);
  assert.equal(row!.coldUntilMs - clock.now(), 2_000);
});

// Guards against requests to an evacuated data centre while a restored store does not have the order.
test("a data centre stays evacuated when a restored store lacks the order, until it is taken back or five seconds on", () => {
  for (const isWrittenAgain of [true, false]) {
    const { clock, view, fleet } = makeFleet();
    const { evacuations } = view.kinds;
    const order = { dataCentre: TEMA };
    evacuations.replace(makeSnapshot(10, { [TEMA]: order }, 10, 1), "store");
    evacuations.replace(makeSnapshot(4, {}, 4, 2), "store");
    clock.advance(4_900);
    fleet.tick();
    assert.deepEqual([...fleet.evacuated], [TEMA]);
    if (isWrittenAgain) {
      const item = { revision: 8, value: order };
      evacuations.apply({ era: 2, revision: 8, events: [{ name: TEMA, item }] }, "store");
      clock.advance(60_000);
      fleet.tick();
      assert.deepEqual([...fleet.evacuated], [TEMA]);
      evacuations.apply({ era: 2, revision: 9, events: [{ name: TEMA, item: null }] }, "store");
    }
    clock.advance(100);
    fleet.tick();
    assert.deepEqual([...fleet.evacuated], []);
  }
});
