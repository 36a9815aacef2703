import assert from "node:assert/strict";
import { test } from "node:test";
import { dataCentreId } from "@wisteriapick/core";
import { levelBounds, MAX_CHILDREN, parentCandidates, rankMembers } from "../src/mod.ts";
import { PropagationCluster } from "./propagation_fixtures.ts";

const DCS = ["osu", "tema", "legon"];

test("every process gets each change in order within the bound, with few children each", async () => {
  const c = new PropagationCluster({ osu: 120, tema: 40, legon: 5 });
  c.startAll();
  c.pass(5_000, DCS);
  assert.equal([...c.nodes.values()].filter((r) => !r.node.state.ready()).length, 0);
  for (let i = 0; i < 5; i++) {
    const r = await c.change(`a${i}`);
    c.pass(5_000, DCS);
    assert.deepEqual(c.behind(r), []);
  }
  const most = Math.max(...[...c.nodes.values()].map((r) => r.node.children));
  assert.ok(most <= MAX_CHILDREN, `${most} children`);
  assert.equal(c.reverted, 0);
});

test("children of a dead watcher go on through another parent", async () => {
  const c = new PropagationCluster({ osu: 60 });
  c.startAll();
  c.pass(5_000, ["osu"]);
  const dead = c.watchers("osu").slice(0, 2);
  for (const key of dead) c.stopNode(key);
  const r = await c.change("a");
  c.pass(5_000, ["osu"]);
  assert.deepEqual(c.behind(r), []);
});

test("a process whose parent goes silent switches although no link breaks", async () => {
  const c = new PropagationCluster({ osu: 60 });
  c.startAll();
  c.pass(5_000, ["osu"]);
  // The silent watcher keeps its links but gets no more answers from the store, and no parent.
  const silent = c.watchers("osu")[0]!;
  const node = c.nodes.get(silent)!.node;
  node.onStoreResult = () => {};
  node.tick = () => {};
  c.nodes.get(silent)!.node.setWatching(true);
  const r = await c.change("a");
  c.pass(5_000, ["osu"]);
  assert.deepEqual(c.behind(r).filter((k) => k !== silent), []);
});

test("a data centre whose calls to the store hang goes on through another data centre", async () => {
  const c = new PropagationCluster({ osu: 20, tema: 20 });
  c.startAll();
  c.pass(5_000, ["osu", "tema"]);
  const r = await c.change("a");
  // From here on tema's watchers get neither answers nor failures.
  c.pass(5_000, ["osu"]);
  assert.deepEqual(c.behind(r), []);
});

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
  const before = c.pulls;
  c.heal();
  // Only the way between the data centres is back: the store stays out of reach of tema.
  c.pass(20_000, ["osu"]);
  assert.deepEqual(c.behind(r), []);
  assert.ok(c.pulls - before < 30 * 20, `${c.pulls - before} pulls`);
  assert.equal(c.reverted, 0);
});

test("an outage of the store causes no herd of pulls, and its end none either", async () => {
  const c = new PropagationCluster({ osu: 100 });
  c.startAll();
  c.pass(5_000, ["osu"]);
  c.storeUp = false;
  c.pass(30_000, ["osu"]);
  const before = c.pulls;
  c.pass(60_000, ["osu"]);
  // A round has at most 14 candidates and at least 3.75 s of wait once the waits have grown.
  const perNodePerSecond = (c.pulls - before) / 100 / 60;
  assert.ok(perNodePerSecond < 14 / 3.75, `${perNodePerSecond} pulls per node and second`);
  c.storeUp = true;
  const r = await c.change("a");
  c.pass(5_000, ["osu"]);
  assert.deepEqual(c.behind(r), []);
});

test("all processes restart at once and none serves before it has a fresh configuration", async () => {
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
  assert.equal(node.state.current().revision, 1, "it did reach its peers");
  assert.equal(node.state.ready(), false);
});

test("with the store down a process starts with the highest revision of watchers and three peers", async () => {
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

test("one member less moves few others to another parent", () => {
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
