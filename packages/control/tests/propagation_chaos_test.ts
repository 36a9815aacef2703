import assert from "node:assert/strict";
import { test } from "node:test";
import { Rng } from "@wisteriapick/core";
import { PropagationCluster } from "./propagation_fixtures.ts";

const DATA_CENTRES = ["osu", "tema", "legon"];

// Guards against a process that goes back to an older revision, skips an entry or never finds a parent again after
// faults that overlap.
test("under random deaths, restarts, partitions and outages no revision reverts and all processes catch up", async () => {
  for (let seed = 1; seed <= 12; seed++) {
    const rng = new Rng(seed);
    const c = new PropagationCluster({ osu: 25, tema: 12, legon: 4 });
    c.startAll();
    c.pass(5_000, DATA_CENTRES);
    for (let i = 0; i < 40; i++) {
      const member = rng.pick(c.members);
      const fault = rng.int(8);
      if (fault === 0 && c.nodes.has(member.key)) c.stopNode(member.key);
      else if (fault === 1 && !c.nodes.has(member.key)) c.startNode(member);
      else if (fault === 2) c.cut(rng.pick(DATA_CENTRES));
      else if (fault === 3) c.heal();
      else if (fault === 4) c.storeUp = rng.chance(0.5);
      else await c.change(`s${seed}-${i}`);
      // A data centre that is cut off has no store either, and calls of some other data centres hang.
      const withStore = DATA_CENTRES.filter((dc) => !c.cutDataCentres.has(dc) && rng.chance(0.9));
      c.pass(1_000 * rng.int(4), withStore);
      const newest = c.log.state.current().revision;
      for (const [key, { node }] of c.nodes) {
        const own = node.state.current();
        assert.ok(own.revision <= newest, `seed ${seed}, ${key}`);
        // Every entry adds one account, so that the number of accounts shows a missing entry.
        assert.equal(own.accounts.size, own.revision, `seed ${seed}, ${key}`);
      }
    }
    c.heal();
    c.storeUp = true;
    for (const m of c.members) if (!c.nodes.has(m.key)) c.startNode(m);
    const r = await c.change(`s${seed}-last`);
    // Processes that were cut off have a delay of up to 15 s between rounds.
    c.pass(20_000, DATA_CENTRES);
    assert.deepEqual(c.behind(r), [], `seed ${seed}`);
    assert.ok([...c.nodes.values()].every((n) => n.node.state.ready()), `seed ${seed}`);
    assert.equal(c.revertedRevisions, 0, `seed ${seed}`);
  }
});
