import assert from "node:assert/strict";
import { test } from "node:test";
import { dataCentreId } from "@wisteriapick/core";
import { levelBounds, MAX_CHILDREN, parentCandidates, rankMembers } from "../src/mod.ts";
import { PropagationCluster } from "./propagation_fixtures.ts";

const DATA_CENTRES = ["osu", "tema", "legon"];

// Guards against processes that the tree does not reach, and against a parent that serves too many children.
test("every process receives each change in order within 5 s, and has few children", async () => {
  const c = new PropagationCluster({ osu: 120, tema: 40, legon: 5 });
  c.startAll();
  c.pass(5_000, DATA_CENTRES);
  assert.equal([...c.nodes.values()].filter((r) => !r.node.state.ready()).length, 0);
  for (let i = 0; i < 5; i++) {
    const r = await c.change(`a${i}`);
    c.pass(5_000, DATA_CENTRES);
    assert.deepEqual(c.behind(r), []);
  }
  const maxChildren = Math.max(...[...c.nodes.values()].map((r) => r.node.childCount));
  assert.ok(maxChildren <= MAX_CHILDREN, `${maxChildren} children`);
  assert.equal(c.revertedRevisions, 0);
});

test("children of a watcher that died continue with another parent", async () => {
  const c = new PropagationCluster({ osu: 60 });
  c.startAll();
  c.pass(5_000, ["osu"]);
  const stopped = c.watchers("osu").slice(0, 2);
  for (const key of stopped) c.stopNode(key);
  const r = await c.change("a");
  c.pass(5_000, ["osu"]);
  assert.deepEqual(c.behind(r), []);
});

test("a process whose parent is silent switches to another parent although no link is lost", async () => {
  const c = new PropagationCluster({ osu: 60 });
  c.startAll();
  c.pass(5_000, ["osu"]);
  // The silent watcher's links stay open, but it receives nothing more from the store and looks for no parent.
  const silent = c.watchers("osu")[0]!;
  const node = c.nodes.get(silent)!.node;
  node.onStoreResult = () => {};
  node.tick = () => {};
  c.nodes.get(silent)!.node.setWatching(true);
  const r = await c.change("a");
  c.pass(5_000, ["osu"]);
  assert.deepEqual(c.behind(r).filter((k) => k !== silent), []);
});

test("a data centre whose calls to the store hang receives changes from another data centre", async () => {
  const c = new PropagationCluster({ osu: 20, tema: 20 });
  c.startAll();
  c.pass(5_000, ["osu", "tema"]);
  const r = await c.change("a");
  // From now on tema's watchers get neither responses nor failures.
  c.pass(5_000, ["osu"]);
  assert.deepEqual(c.behind(r), []);
});

// Guards against a cut-off data centre that stops serving, or floods the others with subscriptions afterwards.
test("a data centre cut off from the store and from the others keeps its configuration and catches up", async () => {
  const c = new PropagationCluster({ osu: 30, tema: 30 });
  c.startAll();
  c.pass(5_000, ["osu", "tema"]);
  c.cut("tema");
  const cutRound = () => {
    for (const key of c.watchers("tema")) c.nodes.get(key)?.node.onStoreResult(false);
  };
  cutRound();
  const r = await c.change("a");
  c.pass(60_000, ["osu"]);
  assert.equal(c.behind(r).length, 30);
  assert.ok([...c.nodes.values()].every((n) => n.node.state.ready()));
  const before = c.subscriptions;
  c.heal();
  // Only the links between the data centres are restored; tema still cannot reach the store.
  c.pass(20_000, ["osu"]);
  assert.deepEqual(c.behind(r), []);
  assert.ok(c.subscriptions - before < 30 * 20, `${c.subscriptions - before} subscriptions`);
  assert.equal(c.revertedRevisions, 0);
});

test("neither an outage of the store nor its end causes a burst of subscriptions", async () => {
  const c = new PropagationCluster({ osu: 100 });
  c.startAll();
  c.pass(5_000, ["osu"]);
  c.storeUp = false;
  c.pass(30_000, ["osu"]);
  const before = c.subscriptions;
  c.pass(60_000, ["osu"]);
  // A round has at most 14 candidates, and the delay after it is at least 3.75 s at its maximum.
  const perNodePerSecond = (c.subscriptions - before) / 100 / 60;
  assert.ok(perNodePerSecond < 14 / 3.75, `${perNodePerSecond} subscriptions per node and second`);
  c.storeUp = true;
  const r = await c.change("a");
  c.pass(5_000, ["osu"]);
  assert.deepEqual(c.behind(r), []);
});

test("when all processes restart at once none serves before its configuration is fresh", async () => {
  const c = new PropagationCluster({ osu: 80, tema: 20 });
  c.startAll();
  const r = await c.change("a");
  c.pass(5_000, ["osu", "tema"]);
  for (const m of c.members) c.stopNode(m.key);
  for (const m of c.members) c.startNode(m);
  c.pass(450, []);
  assert.ok([...c.nodes.values()].every((n) => !n.node.state.ready()));
  c.pass(10_000, ["osu", "tema"]);
  assert.deepEqual(c.behind(r), []);
  assert.ok([...c.nodes.values()].every((n) => n.node.state.ready()));
});

// Guards against a restarted process that serves an old configuration because its peers, all cut off, do too.
test("a process that starts among stale peers only is not ready", async () => {
  const c = new PropagationCluster({ osu: 12 });
  c.startAll();
  await c.change("a");
  c.pass(5_000, ["osu"]);
  const [w1, w2, w3] = c.watchers("osu");
  for (const key of [w1, w2, w3]) c.stopNode(key!);
  c.pass(20_000, []);
  const late = c.members.find((m) => !c.watchers("osu").includes(m.key))!;
  c.stopNode(late.key);
  const node = c.startNode(late);
  c.pass(30_000, []);
  assert.equal(node.state.current().revision, 1, "it reached its peers");
  assert.equal(node.state.ready(), false);
});

test("with the store down a process becomes ready at the highest revision of a watcher and three serving peers", async () => {
  const c = new PropagationCluster({ osu: 12 });
  c.startAll();
  await c.change("a");
  c.pass(5_000, ["osu"]);
  c.storeUp = false;
  c.pass(20_000, ["osu"]);
  const late = c.members.find((m) => !c.watchers("osu").includes(m.key))!;
  c.stopNode(late.key);
  const node = c.startNode(late);
  c.pass(30_000, ["osu"]);
  assert.equal(node.state.ready(), true);
  assert.equal(node.state.current().revision, 1);
});

test("removing a member gives few others another parent", () => {
  const c = new PropagationCluster({ osu: 400 });
  const osu = dataCentreId("osu");
  const first = (members: typeof c.members) =>
    new Map(members.map((m) => [m.key, parentCandidates(members, m)[0]!.key]));
  const before = first(c.members);
  const gone = rankMembers(c.members, osu)[10]!;
  const after = first(c.members.filter((m) => m.key !== gone.key));
  const moved = [...after].filter(([key, parent]) => before.get(key) !== parent).length;
  const { level } = levelBounds(399);
  assert.equal(level, 3);
  assert.ok(moved < 400 / 8, `${moved} of 400 moved`);
});
