import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import {
  endpointId,
  ManualClock,
  revision,
  Rng,
  SystemClock,
  toWpError,
  type WpError,
} from "@wisteriapick/core";
import {
  AccountSchema,
  type EndpointStatus,
  FleetSource,
  type Intent,
  IntentSchema,
  OperatorClient,
  parseDeadline,
  PlanManager,
  type ProcessStatus,
  readStatus,
  registerOperatorRoutes,
} from "../src/mod.ts";
import {
  baseChanges,
  makeLog,
  MemoryStore,
  MOVE,
  openMove,
  putAccount,
  runUntilDone,
  SCRIBE,
  TEMA,
  V1,
  V2,
  write,
} from "./fixtures.ts";

const OUT: Intent = { type: "out", dataCentre: TEMA };

class FixedFleet extends FleetSource {
  endpoints(): EndpointStatus[] {
    return ["accra-osu", "accra-tema", "accra-legon"].map((dc, i) => ({
      endpoint: endpointId(`scribe-${i}`),
      service: SCRIBE,
      dataCentre: dc as typeof TEMA,
      version: V1,
      running: 8,
      queued: 0,
      allowance: 10,
      leaving: false,
      owned: true,
    }));
  }

  async processes(): Promise<ProcessStatus[]> {
    return [0, 1].map((r) => ({
      process: `host-${r}/side`,
      dataCentre: TEMA,
      revision: revision(r),
      asOfMs: 10,
    }));
  }
}

async function makeSystem(clock: ManualClock | SystemClock = new ManualClock()) {
  const store = new MemoryStore(clock);
  const fleet = new FixedFleet();
  const makePlans = (seed: number) => {
    const log = makeLog(store, clock, seed);
    const endpoints = () => fleet.endpoints();
    return new PlanManager({ store, log, clock, rng: new Rng(seed), endpoints });
  };
  const log = makeLog(store, clock, 9);
  await write(log, "base", baseChanges());
  return { clock, store, fleet, log, makePlans, ama: makePlans(1), kofi: makePlans(2) };
}

async function errorOf(work: Promise<unknown>): Promise<WpError | null> {
  return work.then(() => null, toWpError);
}

test("a plan shows the changes, the load on the remaining endpoints and what is unknown, and changes nothing", async () => {
  const { ama, log } = await makeSystem();
  const plan = await ama.plan(OUT, "ama");
  assert.deepEqual(plan.changes, ["data centre accra-tema: in to out"]);
  assert.deepEqual(plan.load, [{ service: "scribe", mustBear: 24, canBear: 20, endpoints: 2 }]);
  assert.match(plan.warnings.join(), /scribe will be overloaded/);
  assert.ok(plan.unknown.length > 0);
  assert.equal(plan.baseRevision, 1);
  assert.equal(await log.catchUp(), 1);
});

test("a plan to take a data centre in counts its endpoints", async () => {
  const { ama } = await makeSystem();
  await ama.confirm((await ama.plan(OUT, "ama")).id, "ama");
  const plan = await ama.plan({ type: "in", dataCentre: TEMA }, "ama");
  assert.deepEqual(plan.changes, ["data centre accra-tema: out to returning"]);
  assert.equal(plan.load[0]!.canBear, 30);
});

// Guards against a plan that is confirmed on a state that its author has not seen, and against plans that go stale
// with every change.
test("a plan whose preconditions have changed is refused with the differences; unrelated changes do not matter", async () => {
  const { ama, kofi, log } = await makeSystem();
  const plan = await ama.plan(OUT, "ama");
  await write(log, "other", [putAccount("museum-shop")]);
  const other = await kofi.plan({ type: "out", dataCentre: "accra-osu" as typeof TEMA }, "kofi");
  await kofi.confirm(other.id, "kofi");
  const err = await errorOf(ama.confirm(plan.id, "ama"));
  assert.equal(err?.type, "plan_stale");
  assert.deepEqual((err as { changed: readonly string[] }).changed, [
    "data centre accra-osu: was in, is out",
  ]);
  const fresh = await ama.plan({ type: "in", dataCentre: "accra-osu" as typeof TEMA }, "ama");
  await write(log, "another", [putAccount("castle-shops")]);
  assert.equal((await ama.confirm(fresh.id, "ama")).revision, 5);
});

// Guards against both data centres being taken out, because each plan was made while both were in.
test("of two operators who confirm conflicting plans at once one succeeds and the other gets the reason", async () => {
  const { clock, ama, kofi, log } = await makeSystem();
  const a = await ama.plan(OUT, "ama");
  const b = await kofi.plan({ type: "out", dataCentre: "accra-osu" as typeof TEMA }, "kofi");
  const results = await runUntilDone(
    clock as ManualClock,
    Promise.all([
      errorOf(ama.confirm(a.id, "ama")),
      errorOf(kofi.confirm(b.id, "kofi")),
    ]),
  );
  assert.deepEqual(results.map((r) => r?.type ?? "done").sort(), ["done", "plan_stale"]);
  await log.catchUp();
  const out = [...log.state.current().dataCentres.values()].filter((d) => d.state === "out");
  assert.equal(out.length, 1);
});

test("one plan confirmed by two operators at once is carried out once", async () => {
  const { clock, ama, kofi, log } = await makeSystem();
  const plan = await ama.plan(OUT, "ama");
  const both = await runUntilDone(
    clock as ManualClock,
    Promise.all([
      ama.confirm(plan.id, "ama"),
      kofi.confirm(plan.id, "kofi"),
    ]),
  );
  assert.equal(both[0].revision, both[1].revision);
  assert.equal(await log.catchUp(), 2);
});

// Guards against a confirmation that is reported as failed although it was carried out, and against one that is
// carried out twice.
test("with the store down before, during or after a confirmation the operator gets a true result", async () => {
  const { clock, store, ama, kofi, log } = await makeSystem();
  const manual = clock as ManualClock;
  const plan = await ama.plan(OUT, "ama");
  store.up = false;
  assert.equal(
    (await runUntilDone(manual, errorOf(ama.confirm(plan.id, "ama"))))?.type,
    "store_unavailable",
  );
  store.up = true;
  assert.equal(await log.catchUp(), 1, "before: nothing is written");
  // During: the write takes effect, its response is lost and the store goes down.
  store.writeFaults.push("lost_after");
  store.beforeWrite = async () => {
    store.beforeWrite = () => Promise.resolve();
    store.clock.setTimer(1, () => store.up = false);
  };
  assert.equal(
    (await runUntilDone(manual, errorOf(ama.confirm(plan.id, "ama"))))?.type,
    "store_outcome_unknown",
  );
  store.up = true;
  // After: confirming again, here by another operator, returns the true outcome.
  assert.equal((await runUntilDone(manual, kofi.confirm(plan.id, "kofi"))).revision, 2);
  assert.equal(await log.catchUp(), 2);
});

test("a move can be planned and taken back, and a service has one move at a time", async () => {
  const { ama, kofi, log, clock } = await makeSystem();
  const byMs = clock.wall() + 3_600_000;
  const intent: Intent = { type: "move", service: SCRIBE, from: V1, to: V2, byMs };
  const [a, b] = [await ama.plan(intent, "ama"), await kofi.plan(intent, "kofi")];
  assert.match(a.warnings.join(), /no endpoint of service scribe runs version v2/);
  await ama.confirm(a.id, "ama");
  assert.equal((await errorOf(kofi.confirm(b.id, "kofi")))?.type, "plan_stale");
  await log.catchUp();
  const [move] = log.state.current().moves.keys();
  const takeBack = await kofi.plan({ type: "take_back", move: move! }, "kofi");
  await kofi.confirm(takeBack.id, "kofi");
  await log.catchUp();
  assert.equal(log.state.current().moves.get(move!)!.state, "taken_back");
  assert.equal(log.state.current().services.get(SCRIBE)!.activeVersion, V1);
});

test("applying a file changes only the entities that differ", async () => {
  const { ama, log } = await makeSystem();
  const file = {
    services: [{
      id: "scribe",
      kind: "model",
      versions: [{ id: "v1" }, { id: "v2" }],
      activeVersion: "v1",
    }],
    accounts: [{ id: "museum-shop" }],
  };
  const plan = await ama.plan(IntentSchema.parse({ type: "apply", file }), "ama");
  assert.deepEqual(plan.changes, ["create client account museum-shop"]);
  await ama.confirm(plan.id, "ama");
  await log.catchUp();
  assert.equal(log.state.current().accounts.size, 1);
});

test("the status names processes that are behind, also while the store is down", async () => {
  const { clock, store, fleet, log } = await makeSystem();
  await write(log, "move", [openMove({ deadlineMs: clock.wall() + 60_000 })]);
  store.up = false;
  const status = await readStatus({ state: log.state, store, fleet, clock });
  assert.equal(status.storeUp, false);
  assert.deepEqual(status.processes.map((p) => p.behind), [true, true]);
  assert.deepEqual(status.moves.map((m) => [m.id, m.leftMs]), [[MOVE, 60_000]]);
  (clock as ManualClock).advance(60_000);
  const late = await readStatus({ state: log.state, store, fleet, clock });
  assert.match(late.moves[0]!.reason, /taken back by rule/);
});

test("the HTTP interface carries plans, typed errors, status and events", async () => {
  const clock = new SystemClock();
  const { store, fleet, log, ama } = await makeSystem(clock);
  const account = AccountSchema.parse({ id: "ama", role: "operator" });
  const routes = new Map<string, Parameters<Parameters<typeof registerOperatorRoutes>[0]>[2]>();
  registerOperatorRoutes((method, path, handler) => {
    routes.set(`${method} ${path}`, handler);
    return () => {};
  }, {
    plans: ama,
    state: log.state,
    store,
    fleet,
    clock,
    readBody: async (req) => Buffer.concat(await req.toArray()),
  });
  const server = createServer((req, res) => {
    const path = req.url!.split("?")[0]!;
    const plan = /^\/admin\/plans\/([^/]+)/.exec(path)?.[1];
    const route = plan === undefined ? path : path.replace(plan, ":plan");
    void routes.get(`${req.method} ${route}`)!(req, res, { plan }, account);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = new OperatorClient({ url, key: "k" });
  const plan = await client.plan({ type: "out", dataCentre: "accra-tema" });
  assert.equal((await client.read(plan.id)).who, "ama");
  assert.equal((await client.confirm(plan.id)).revision, 2);
  assert.equal((await errorOf(client.read("p-none")))?.type, "not_found");
  assert.equal((await errorOf(client.plan({ type: "fly" })))?.type, "settings");
  await log.catchUp();
  const events = await client.events({ after: revision(1) });
  assert.deepEqual(events.map((e) => e.why), ["take data centre accra-tema out"]);
  // The state before the event is not known when it is read, and must not be derived from the current state.
  assert.deepEqual(events[0]!.changes, ["data centre accra-tema: out"]);
  assert.equal(
    (await client.status()).dataCentres.find((d) => d.id === "accra-tema")!.state,
    "out",
  );
  server.close();
  server.closeAllConnections();
});

test("--by accepts the next HH:MM or a date", () => {
  const now = new Date(2026, 0, 5, 17, 30).getTime();
  assert.equal(parseDeadline("18:00", now) - now, 1_800_000);
  assert.equal(parseDeadline("17:00", now) - now, 23.5 * 3_600_000);
  assert.throws(() => parseDeadline("soon", now));
});
