import assert from "node:assert/strict";
import { test } from "node:test";
import { dataCentreId, ManualClock, revision, Rng, toWpError } from "@wisteriapick/core";
import { admittedShare, excludedDataCentres, RETURN_RAMP_MS, ReturnDuty } from "../src/mod.ts";
import { baseChanges, makeLog, MemoryStore, TEMA, write } from "./fixtures.ts";
import { PropagationCluster } from "./propagation_fixtures.ts";

async function makeDataCentres() {
  const clock = new ManualClock({ wallStart: 0 });
  const store = new MemoryStore(clock);
  const log = makeLog(store, clock);
  await write(log, "base", baseChanges());
  let n = 0;
  const set = (state: "in" | "out" | "returning") =>
    write(log, `s${n++}`, [{ type: "set_data_centre_state", id: TEMA, state, atMs: clock.wall() }]);
  const shareOfTema = () => {
    const reqs = Array.from({ length: 2_000 }, (_, i) => `r${i}`);
    const open = reqs.filter((r) =>
      !excludedDataCentres(log.state.current(), r, clock.wall()).has(TEMA)
    );
    return open.length / reqs.length;
  };
  return { clock, log, set, shareOfTema };
}

// Guards against all traffic returning at once to endpoints that are still cold.
test("a data centre that is out gets nothing, and one that returns gets a growing share", async () => {
  const { clock, set, shareOfTema } = await makeDataCentres();
  assert.equal(shareOfTema(), 1);
  await set("out");
  assert.equal(shareOfTema(), 0);
  clock.advance(60_000);
  await set("returning");
  const observedShares = [shareOfTema()];
  for (let i = 0; i < 4; i++) {
    clock.advance(RETURN_RAMP_MS / 4);
    observedShares.push(shareOfTema());
  }
  assert.ok(observedShares[0]! < 0.05, "a small share at the start");
  assert.deepEqual([...observedShares].sort((a, b) => a - b), observedShares);
  assert.equal(observedShares.at(-1), 1);
});

test("going out and returning twice in a row restarts the ramp each time", async () => {
  const { clock, set, shareOfTema } = await makeDataCentres();
  for (let i = 0; i < 2; i++) {
    await set("out");
    assert.equal(shareOfTema(), 0);
    await set("returning");
    assert.ok(shareOfTema() < 0.05);
    clock.advance(RETURN_RAMP_MS / 2);
    assert.ok(shareOfTema() > 0.05);
  }
});

test("the end of a return is written once, and not when the data centre went out again", async () => {
  const { clock, log, set } = await makeDataCentres();
  await set("out");
  await set("returning");
  const lease = { fence: () => 1 as never };
  const duty = new ReturnDuty({ lease, log, clock, rng: new Rng(1), who: "host-1" });
  await duty.tick();
  assert.equal(log.state.current().dataCentres.get(TEMA)!.state, "returning");
  clock.advance(RETURN_RAMP_MS);
  await duty.tick();
  await duty.tick();
  assert.equal(log.state.current().dataCentres.get(TEMA)!.state, "in");
  const before = await log.catchUp();
  await set("out");
  await duty.tick();
  assert.equal(await log.catchUp(), before + 1);
  assert.equal(admittedShare(log.state.current().dataCentres.get(TEMA)!, clock.wall()), 0);
});

test("a data centre that goes out while the end of its return is written stays out", async () => {
  const { clock, log, set } = await makeDataCentres();
  await set("out");
  await set("returning");
  clock.advance(RETURN_RAMP_MS);
  const lease = { fence: () => 1 as never };
  const duty = new ReturnDuty({ lease, log, clock, rng: new Rng(1), who: "host-1" });
  // The operator's change is accepted between the duty's decision and its write.
  const writing = duty.tick().catch(toWpError);
  await set("out");
  await writing;
  assert.equal(log.state.current().dataCentres.get(TEMA)!.state, "out");
  const entries = await log.history(revision(1));
  assert.ok(entries.every((e) => e.changes.length > 0), "no empty entry is written");
});

test("a process that receives a newer revision from a peer fetches it from that peer at once", async () => {
  const c = new PropagationCluster({ osu: 6, tema: 6 });
  c.startAll();
  c.pass(5_000, ["osu", "tema"]);
  // The store does not respond to tema's watchers, and no process there is stale enough yet to look for another parent.
  const r = await c.change("a");
  c.pass(1_000, ["osu"]);
  const behind = c.members.find((m) => m.dataCentre === dataCentreId("tema"))!;
  const upToDate = c.members.find((m) => m.dataCentre === dataCentreId("osu"))!;
  const node = c.nodes.get(behind.key)!.node;
  assert.ok(node.state.current().revision < r);
  node.onPeerRevision(upToDate, c.nodes.get(upToDate.key)!.node.state.current().revision);
  c.pass(50, []);
  assert.equal(node.state.current().revision, r);
});
