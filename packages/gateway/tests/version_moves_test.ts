import assert from "node:assert/strict";
import { test } from "node:test";
import { endpointId, ManualClock, Rng, routeId, versionId } from "@wisteriapick/core";
import { VersionMoves } from "../src/moves/version_moves.ts";
import type { EndpointRow } from "../src/state/fleet.ts";
import { StoreFollower } from "../src/state/store_follower.ts";
import { StoreView } from "../src/state/store_view.ts";
import { makeEndpoint, makeMove, MemoryLog, MemoryStore, SCRIBE, settle } from "./fixtures.ts";
import { MemoryLinks } from "./memory_peers.ts";

const V1 = versionId("v1");
const V2 = versionId("v2");
const ROUTE = routeId("drafts");
const LIMITS = { share: 0.1, extra: 50 };

function makeRow(id: string, version: typeof V1): EndpointRow {
  return {
    record: makeEndpoint(id, { id: endpointId(id), version }),
    phase: "ready",
    phaseSinceMs: 0,
    coldUntilMs: 0,
    revision: 1,
    isRegistered: true,
  };
}

const ROWS = [makeRow("old-1", V1), makeRow("old-2", V1), makeRow("new-1", V2)];

/** Two gateways that follow one store and share their counts. */
async function makeDay(seed: number) {
  const clock = new ManualClock();
  const links = new MemoryLinks();
  const store = new MemoryStore(clock);
  const rng = new Rng(seed * 104_729);
  const gateways = ["entry-1", "entry-2"].map((name) => {
    const view = new StoreView();
    const log = new MemoryLog();
    const follower = new StoreFollower({ store, view, clock, rng: new Rng(1), log });
    const network = links.join(name);
    const moves = new VersionMoves({ view, store, network, clock, log, limits: () => LIMITS });
    follower.start();
    return { moves, follower };
  });
  await settle();
  return { clock, store, rng, gateways };
}

type Day = Awaited<ReturnType<typeof makeDay>>;

/** Plays `ms` of traffic; the new version fails with the given chance. Returns requests by version. */
async function play(day: Day, ms: number, failChance: number): Promise<Map<string, number>> {
  const counts = new Map<string, number>();
  let nextId = 0;
  for (let done = 0; done < ms; done += 20) {
    day.clock.advance(20);
    for (const { moves } of day.gateways) {
      const id = `r${nextId++}`;
      const allowed = moves.allowedEndpoints(SCRIBE, ROWS, id);
      const { version } = day.rng.pick(allowed).record;
      counts.set(version, (counts.get(version) ?? 0) + 1);
      const failed = version === V2 ? day.rng.chance(failChance) : day.rng.chance(0.02);
      moves.record({ service: SCRIBE, version, route: ROUTE, isFailure: failed, isSlow: false });
      moves.tick();
    }
    await settle();
  }
  return counts;
}

const statesOf = ({ store }: Day) => store.statuses.map((s) => s.state);

test("without an order every version may be used", async () => {
  const day = await makeDay(1);
  assert.equal(day.gateways[0]!.moves.allowedEndpoints(SCRIBE, ROWS, "r1").length, 3);
});

test("a good version is completed in time, and then gets everything", async () => {
  const day = await makeDay(1);
  day.store.set("moves", "scribe", makeMove());
  await settle();
  await play(day, 11_900, 0.02);
  assert.deepEqual(statesOf(day), ["running", "completed"]);
  const after = await play(day, 500, 0.02);
  assert.equal(after.get(V1), undefined);
});

test("a bad version is rolled back, stays within its exposure, and gets nothing more", async () => {
  const day = await makeDay(2);
  day.store.set("moves", "scribe", makeMove());
  await settle();
  const counts = await play(day, 11_900, 0.5);
  assert.deepEqual(statesOf(day), ["running", "rolled_back"]);
  const total = counts.get(V1)! + counts.get(V2)!;
  assert.ok(
    counts.get(V2)! <= LIMITS.share * total + LIMITS.extra,
    `${counts.get(V2)} of ${total}`,
  );
  const after = await play(day, 500, 0.5);
  assert.equal(after.get(V2), undefined);
});

test("an end that cannot be written while the store is away is written on its return", async () => {
  const day = await makeDay(3);
  day.store.set("moves", "scribe", makeMove());
  await settle();
  await play(day, 3_000, 0.02);
  day.store.setMood("refusing");
  await play(day, 2_000, 0.9);
  assert.deepEqual(statesOf(day), ["running"]);
  const during = await play(day, 500, 0.9);
  assert.equal(
    during.get(V2),
    undefined,
    "a version known to be bad is used while the store is away",
  );
  day.store.setMood("serving");
  await play(day, 2_000, 0.9);
  assert.deepEqual(statesOf(day), ["running", "rolled_back"]);
});

test("a request gets the same version at every gateway and at every try", async () => {
  const day = await makeDay(4);
  day.store.set("moves", "scribe", makeMove());
  await settle();
  await play(day, 1_000, 0.02);
  for (let i = 0; i < 50; i++) {
    const chosen = day.gateways.map(({ moves }) =>
      moves.allowedEndpoints(SCRIBE, ROWS, `caller-${i}`)[0]!.record.version
    );
    assert.equal(chosen[0], chosen[1]);
  }
});

test("a request for the new version falls back to the old one where the new one is gone", async () => {
  const day = await makeDay(5);
  day.store.set("moves", "scribe", makeMove());
  await settle();
  await play(day, 1_000, 0.02);
  const old = ROWS.filter((row) => row.record.version === V1);
  for (let i = 0; i < 20; i++) {
    assert.equal(day.gateways[0]!.moves.allowedEndpoints(SCRIBE, old, `caller-${i}`).length, 2);
  }
});

test("a new order for another version begins anew", async () => {
  const day = await makeDay(6);
  day.store.set("moves", "scribe", makeMove({ state: "rolled_back" }));
  await settle();
  day.store.set("moves", "scribe", makeMove({ target: versionId("v3"), state: null }));
  await settle();
  await play(day, 300, 0.02);
  assert.deepEqual(statesOf(day), ["running"]);
});
