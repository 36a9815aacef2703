import assert from "node:assert/strict";
import { test } from "node:test";
import { Rng } from "@wisteriapick/core";
import { PropagationCluster } from "./propagation_fixtures.ts";

const DCS = ["osu", "tema", "legon"];

test("under random deaths, restarts, cuts and outages no revision reverts, and all catch up afterwards", async () => {
  for (let seed = 1; seed <= 12; seed++) {
    const rng = new Rng(seed);
    const c = new PropagationCluster({ osu: 25, tema: 12, legon: 4 });
    c.startAll();
    c.pass(5_000, DCS);
    for (let i = 0; i < 40; i++) {
      const member = rng.pick(c.members);
      const kind = rng.int(8);
      if (kind === 0 && c.nodes.has(member.key)) c.stopNode(member.key);
      else if (kind === 1 && !c.nodes.has(member.key)) c.startNode(member);
      else if (kind === 2) c.cut(rng.pick(DCS));
      else if (kind === 3) c.heal();
      else if (kind === 4) c.storeUp = rng.chance(0.5);
      else await c.change(`s${seed}-${i}`);
      // A data centre that is cut off has no store either; some watchers' calls hang besides.
      const fed = DCS.filter((dc) => !c.cutCentres.has(dc) && rng.chance(0.9));
      c.pass(1_000 * rng.int(4), fed);
      const top = c.log.state.current().revision;
      for (const [key, { node }] of c.nodes) {
        const own = node.state.current();
        assert.ok(own.revision <= top, `seed ${seed}, ${key}`);
        // Every entry adds one account: equal revisions are equal configurations.
        assert.equal(own.accounts.size, own.revision, `seed ${seed}, ${key}`);
      }
    }
    c.heal();
    c.storeUp = true;
    for (const m of c.members) if (!c.nodes.has(m.key)) c.startNode(m);
    const r = await c.change(`s${seed}-last`);
    // Processes that were cut off wait up to 15 s between their rounds.
    c.pass(20_000, DCS);
    assert.deepEqual(c.behind(r), [], `seed ${seed}`);
    assert.ok([...c.nodes.values()].every((n) => n.node.state.ready()), `seed ${seed}`);
    assert.equal(c.reverted, 0, `seed ${seed}`);
  }
});
