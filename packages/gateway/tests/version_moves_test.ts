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
    era: 0,
    hasOwnNotice: false,
  };
}

const ROWS = [makeRow("old-1", V1), makeRow("old-2", V1), makeRow("new-1", V2)];

/** Makes two gateways that follow one store and share their counts. */
async function makeCluster(seed: number) {
  const clock = new ManualClock();
  const links = new MemoryLinks();
  const store = new MemoryStore(clock);
  const rng = new Rng(seed * 104_729);
  const start = (name: string) => {
    const view = new StoreView();
    const log = new MemoryLog();
    const follower = new StoreFollower({ store, view, clock, rng: new Rng(1), log });
    const network = links.join(name);
    const moves = new VersionMoves({ view, store, network, clock, log, limits: () => LIMITS });
    follower.start();
    return { moves, follower, log, network };
  };
  const gateways = ["entry-1", "entry-2"].map(start);
  await settle();
  return { clock, store, rng, gateways, start };
}

type Cluster = Awaited<ReturnType<typeof makeCluster>>;

/**
 * Simulates `ms` of traffic, in which the new version fails with probability `failChance`. Returns the number of
 * requests by version.
 */
async function simulateTraffic(
  cluster: Cluster,
  ms: number,
  failChance: number,
): Promise<Map<string, number>> {
  const counts = new Map<string, number>();
  let nextId = 0;
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 20) {
    cluster.clock.advance(20);
    for (const { moves } of cluster.gateways) {
      const id = `r${nextId++}`;
      const allowed = moves.allowedEndpoints(SCRIBE, ROWS, id);
      const { version } = cluster.rng.pick(allowed).record;
      counts.set(version, (counts.get(version) ?? 0) + 1);
      const isFailure = version === V2 ? cluster.rng.chance(failChance) : cluster.rng.chance(0.02);
      moves.record({ service: SCRIBE, version, route: ROUTE, isFailure, isSlow: false });
      moves.tick();
    }
    await settle();
  }
  return counts;
}

const statesOf = ({ store }: Cluster) => store.statuses.map((s) => s.state);

// Guards against limiting traffic while no move is ordered.
test("all versions may be used while no move is ordered", async () => {
  const cluster = await makeCluster(1);
  assert.equal(cluster.gateways[0]!.moves.allowedEndpoints(SCRIBE, ROWS, "r1").length, 3);
});

// Guards against a move that does not complete by its deadline, and against requests to the old version afterwards.
test("a move to a good version completes in time, and all requests then go to it", async () => {
  const cluster = await makeCluster(1);
  cluster.store.set("moves", "scribe", makeMove());
  await settle();
  await simulateTraffic(cluster, 11_900, 0.02);
  assert.deepEqual(statesOf(cluster), ["running", "completed"]);
  const after = await simulateTraffic(cluster, 500, 0.02);
  assert.equal(after.get(V1), undefined);
});

// Guards against a bad version that gets more requests than the exposure limits allow, or any after its rollback.
test("a bad version is rolled back within the exposure limits, and then gets no requests", async () => {
  const cluster = await makeCluster(2);
  cluster.store.set("moves", "scribe", makeMove());
  await settle();
  const counts = await simulateTraffic(cluster, 11_900, 0.5);
  assert.deepEqual(statesOf(cluster), ["running", "rolled_back"]);
  const total = counts.get(V1)! + counts.get(V2)!;
  assert.ok(
    counts.get(V2)! <= LIMITS.share * total + LIMITS.extra,
    `${counts.get(V2)} of ${total}`,
  );
  const after = await simulateTraffic(cluster, 500, 0.5);
  assert.equal(after.get(V2), undefined);
});

// Guards against losing a decision that is made during a store outage, and against using a bad version until the store
// is reachable again.
test("the end of a move that cannot be written during a store outage is written afterwards", async () => {
  const cluster = await makeCluster(3);
  cluster.store.set("moves", "scribe", makeMove());
  await settle();
  await simulateTraffic(cluster, 3_000, 0.02);
  cluster.store.setAvailability("refusing");
  await simulateTraffic(cluster, 2_000, 0.9);
  assert.deepEqual(statesOf(cluster), ["running"]);
  const during = await simulateTraffic(cluster, 500, 0.9);
  assert.equal(
    during.get(V2),
    undefined,
    "a version known to be bad is used during a store outage",
  );
  cluster.store.setAvailability("serving");
  await simulateTraffic(cluster, 2_000, 0.9);
  assert.deepEqual(statesOf(cluster), ["running", "rolled_back"]);
});

// Guards against a retried request that goes to another version at another gateway.
test("a request gets the same version at every gateway and at every attempt", async () => {
  const cluster = await makeCluster(4);
  cluster.store.set("moves", "scribe", makeMove());
  await settle();
  await simulateTraffic(cluster, 1_000, 0.02);
  for (let i = 0; i < 50; i++) {
    const chosen = cluster.gateways.map(({ moves }) =>
      moves.allowedEndpoints(SCRIBE, ROWS, `caller-${i}`)[0]!.record.version
    );
    assert.equal(chosen[0], chosen[1]);
  }
});

// Guards against failing requests when the new version has lost its last endpoint.
test("a request for the new version falls back to the old one when the new one has no endpoint", async () => {
  const cluster = await makeCluster(5);
  cluster.store.set("moves", "scribe", makeMove());
  await settle();
  await simulateTraffic(cluster, 1_000, 0.02);
  const old = ROWS.filter((row) => row.record.version === V1);
  for (let i = 0; i < 20; i++) {
    assert.equal(cluster.gateways[0]!.moves.allowedEndpoints(SCRIBE, old, `caller-${i}`).length, 2);
  }
});

// Guards against applying the result of an earlier move to a move to another version.
test("an order for another version starts a new move", async () => {
  const cluster = await makeCluster(6);
  cluster.store.set("moves", "scribe", makeMove({ state: "rolled_back" }));
  await settle();
  cluster.store.set("moves", "scribe", makeMove({ target: versionId("v3"), state: null }));
  await settle();
  await simulateTraffic(cluster, 300, 0.02);
  assert.deepEqual(statesOf(cluster), ["running"]);
});

// Guards against requests that are suspected of crashes because the old version's endpoints were stopped.
test("the versions that a move takes away are retired once it has ended", async () => {
  const cluster = await makeCluster(6);
  const { moves } = cluster.gateways[0]!;
  const retired = () => [V1, V2].map((version) => moves.isRetired({ service: SCRIBE, version }));
  assert.deepEqual(retired(), [false, false]);
  cluster.store.set("moves", "scribe", makeMove());
  await settle();
  assert.deepEqual(retired(), [false, false]);
  cluster.store.set("moves", "scribe", makeMove({ state: "completed" }));
  await settle();
  assert.deepEqual(retired(), [true, false]);
  cluster.store.set("moves", "scribe", makeMove({ state: "rolled_back" }));
  await settle();
  assert.deepEqual(retired(), [false, true]);
});

/** A move that has just been ordered, and a copy of the store from before the order. */
async function makeOrdered() {
  const cluster = await makeCluster(1);
  const { store } = cluster;
  store.restore(store.copy(), 1);
  await simulateTraffic(cluster, 2_500, 0.02);
  const copy = store.copy();
  store.set("moves", "scribe", makeMove());
  return { cluster, store, copy };
}

// Guards against an unlimited share of a new version while a restored store does not have the order.
test("a move goes on while a restored store lacks its order, and keeps its deadline when it is written again", async () => {
  const { cluster, store, copy } = await makeOrdered();
  await simulateTraffic(cluster, 1_000, 0.02);
  store.restore(copy);
  const lost = await simulateTraffic(cluster, 3_000, 0.02);
  assert.ok((lost.get(V1) ?? 0) > (lost.get(V2) ?? 0), "the new version's share was not limited");
  assert.deepEqual(statesOf(cluster), ["running"]);
  store.set("moves", "scribe", makeMove());
  await simulateTraffic(cluster, 7_900, 0.02);
  assert.deepEqual(statesOf(cluster), ["running", "running", "completed"]);
});

// Guards against a move that is never given up when its order is not written again.
test("a move whose order is not written again after a restore ends after five seconds", async () => {
  const { cluster, store, copy } = await makeOrdered();
  await simulateTraffic(cluster, 1_000, 0.02);
  store.restore(copy);
  await simulateTraffic(cluster, 8_000, 0.02);
  assert.equal(cluster.gateways[0]!.moves.allowedEndpoints(SCRIBE, ROWS, "r1").length, 3);
});

// Guards against an earlier order that a restored store shows and that starts anew.
test("an earlier order that a restored store shows does not replace the one in force", async () => {
  const cluster = await makeCluster(1);
  const { store } = cluster;
  const v3 = versionId("v3");
  store.restore(store.copy(), 1);
  store.set("moves", "scribe", makeMove({ state: "rolled_back" }));
  await simulateTraffic(cluster, 2_500, 0.02);
  const copy = store.copy();
  store.set("moves", "scribe", makeMove({ target: v3 }));
  await simulateTraffic(cluster, 1_000, 0.02);
  store.restore(copy);
  await simulateTraffic(cluster, 2_500, 0.02);
  store.set("moves", "scribe", makeMove({ target: v3 }));
  await simulateTraffic(cluster, 500, 0.02);
  assert.deepEqual(store.statuses.map(({ target, state }) => `${target} ${state}`), [
    "v3 running",
    "v3 running",
  ]);
  const ordered = cluster.gateways[0]!.log.events.filter(({ event }) => event === "move_ordered");
  assert.deepEqual(ordered.map(({ fields }) => fields.target), [V2, v3]);
});

/** Name of a gateway that writes for the others once it joins them. */
function writerAmong(...others: readonly string[]): string {
  for (let i = others.length + 1;; i++) {
    const links = new MemoryLinks();
    for (const name of others) links.join(name);
    const name = `entry-${i}`;
    if (links.join(name).coordinatorOf(SCRIBE) === name) return name;
  }
}

/** A move to a good version that has completed, and a copy of the store from before that. */
async function makeCompleted() {
  const cluster = await makeCluster(1);
  const { store } = cluster;
  store.restore(store.copy(), 1);
  store.set("moves", "scribe", makeMove());
  await simulateTraffic(cluster, 3_000, 0.02);
  const copy = store.copy();
  await simulateTraffic(cluster, 8_900, 0.02);
  assert.deepEqual(statesOf(cluster), ["running", "completed"]);
  return { cluster, store, copy };
}

// Guards against a completed move that a restored store shows as running and that is then rolled back.
test("the end of a move that a restored store has lost is written again, and never its opposite", async () => {
  const { cluster, store, copy } = await makeCompleted();
  // The gateway that writes has seen the end in the store only.
  cluster.gateways.push(cluster.start(writerAmong("entry-1", "entry-2")));
  await simulateTraffic(cluster, 200, 0.02);
  store.restore(copy);
  const after = await simulateTraffic(cluster, 6_000, 0.9);
  assert.equal(after.get(V1), undefined);
  assert.deepEqual(statesOf(cluster), ["running", "completed", "completed"]);
});

// Guards against a move that begins anew when the order was lost with its end.
test("the end of a move is written again once its lost order is", async () => {
  const { cluster, store, copy } = await makeOrdered();
  await simulateTraffic(cluster, 11_900, 0.02);
  store.restore(copy);
  await simulateTraffic(cluster, 3_000, 0.9);
  store.set("moves", "scribe", makeMove());
  const after = await simulateTraffic(cluster, 1_000, 0.9);
  assert.equal(after.get(V1), undefined);
  assert.deepEqual(statesOf(cluster), ["running", "completed", "completed"]);
});

// Guards against the opposite of an end, written by a gateway that has not seen it before the store was restored.
test("a gateway that starts after a restore and writes for the others writes the end that they saw", async () => {
  const { cluster, store, copy } = await makeCompleted();
  store.setAvailability("refusing");
  store.restore(copy);
  cluster.gateways.push(cluster.start(writerAmong("entry-1", "entry-2")));
  store.setAvailability("serving");
  await simulateTraffic(cluster, 6_000, 0.9);
  assert.deepEqual(statesOf(cluster).filter((state) => state !== "running"), [
    "completed",
    "completed",
  ]);
});

// Guards against a retained order whose end counts as shown by the restored store, so that its opposite is written.
test("the end of a move whose order was lost too is never followed by its opposite", async () => {
  const { cluster, store, copy } = await makeOrdered();
  await simulateTraffic(cluster, 11_900, 0.02);
  assert.deepEqual(statesOf(cluster), ["running", "completed"]);
  // The gateway that writes has seen the end in the store only.
  cluster.gateways.push(cluster.start(writerAmong("entry-1", "entry-2")));
  await simulateTraffic(cluster, 200, 0.02);
  store.restore(copy);
  await simulateTraffic(cluster, 3_000, 0.9);
  store.set("moves", "scribe", makeMove());
  const after = await simulateTraffic(cluster, 13_000, 0.9);
  assert.equal(after.get(V1), undefined);
  assert.deepEqual(statesOf(cluster), ["running", "completed", "completed"]);
});
