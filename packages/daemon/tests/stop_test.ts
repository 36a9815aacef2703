import assert from "node:assert/strict";
import { after, test } from "node:test";
import { request } from "undici";
import { CLIENT_KEY, FakeEngine, Fleet, makeConfig, OPERATOR_KEY, waitUntil } from "./fixtures.ts";
import { TestService } from "./plain_service.ts";
import { range, streamChat } from "./sse_client.ts";

async function fetchHealthStatus(url: string): Promise<number> {
  const res = await request(`${url}/healthz`);
  await res.body.dump();
  return res.statusCode;
}

// Guards against a planned stop that cuts streams, or refuses work while load balancers still send it.
test("a planned stop of an entry fails its health check first and finishes running streams", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  engine.release(2);
  await fleet.startSide("scribe-1", engine);
  const { url, entry } = await fleet.startEntry("1");
  const callers = [streamChat(url), streamChat(url)];
  for (const caller of callers) await caller.waitForTokens(2);
  let endAnnouncement = () => {};
  const announce = new Promise<void>((resolve) => {
    endAnnouncement = resolve;
  });
  const stopped = entry.drain({ announce });
  assert.equal(await fetchHealthStatus(url), 503);
  const late = streamChat(url);
  await late.waitForTokens(2);
  endAnnouncement();
  await waitUntil(() => entry.isRefusing);
  const refused = await streamChat(url).waitForEnd();
  assert.ok(refused.status === 0 || refused.status === 503);
  engine.release(5);
  for (const caller of [...callers, late]) {
    await caller.waitForEnd();
    assert.deepEqual(caller.offsets, range(5));
    assert.equal(caller.isCompleted, true);
  }
  await stopped;
});

// Guards against a planned stop of a side that cuts streams, or fails requests that another side could run.
test("a planned stop of a side refuses new work at once and finishes running streams", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engines = [new FakeEngine(), new FakeEngine()];
  const first = await fleet.startSide("scribe-1", engines[0]!);
  const { url, entry } = await fleet.startEntry("1");
  engines[0]!.release(2);
  const running = streamChat(url);
  await running.waitForTokens(2);
  await fleet.startSide("scribe-2", engines[1]!);
  engines[1]!.release(5);
  const stopped = first.side.drain({ pollMs: 1 });
  for (let i = 0; i < 4; i++) {
    const caller = await streamChat(url).waitForEnd();
    assert.equal(caller.isCompleted, true);
  }
  assert.equal(engines[0]!.runs.length, 1);
  engines[0]!.release(5);
  await running.waitForEnd();
  assert.deepEqual(running.offsets, range(5));
  assert.equal(running.isCompleted, true);
  await stopped;
  assert.equal(entry.isHealthy, true);
});

// Guards against a planned stop of a side that loses the response of a running call.
test("a planned stop of a plain service's side finishes running calls", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const service = new TestService();
  let finish = () => {};
  service.onRequest = (_req, res) => {
    finish = () => void res.end("done");
  };
  const origin = await service.listen();
  after(() => service.close());
  const { side } = await fleet.startSide("counter-1", null, { service: "counter", origin });
  const { url } = await fleet.startEntry("1");
  const call = request(`${url}/services/counter/orders`, {
    method: "POST",
    headers: { authorization: `Bearer ${CLIENT_KEY}` },
    body: "bowl",
  });
  await waitUntil(() => service.count("/orders") === 1);
  const stopped = side.drain({ pollMs: 1 });
  finish();
  assert.equal(await (await call).body.text(), "done");
  await stopped;
});

// Guards against placing requests on an endpoint whose host is about to be removed.
test("a host that the platform removes gets no new work and finishes what runs", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engines = [new FakeEngine(), new FakeEngine()];
  for (const engine of engines) engine.release(5);
  await fleet.startSide("scribe-1", engines[0]!);
  await fleet.startSide("scribe-2", engines[1]!);
  const { url } = await fleet.startEntry("1");
  fleet.setHostState("scribe-1", "leaving");
  for (let i = 0; i < 4; i++) assert.equal((await streamChat(url).waitForEnd()).isCompleted, true);
  assert.equal(engines[0]!.runs.length, 0);
  assert.equal(engines[1]!.runs.length, 4);
});

// Guards against running requests that an entry with an outdated configuration or host list still sends.
test("a side refuses work by itself where its entry does not know of the change yet", async () => {
  const changes: [string, string, (fleet: Fleet, set: (leaving: boolean) => void) => void][] = [
    ["data centre out", "data_centre_out", (fleet) =>
      fleet.sideConfig.set(
        makeConfig({ dataCentres: [{ id: "dc-1", region: "r-1", state: "out" }] }, 2),
      )],
    ["version withdrawn", "version_withdrawn", (fleet) => {
      const versions = [{ id: "v1", withdrawn: true }, { id: "v2" }];
      const scribe = { id: "scribe", kind: "model", versions, activeVersion: "v2" };
      fleet.sideConfig.set(makeConfig({ services: [scribe] }, 2));
    }],
    ["leaving", "endpoint_leaving", (_fleet, setLeaving) => setLeaving(true)],
  ];
  for (const [name, reason, change] of changes) {
    const fleet = new Fleet();
    after(() => fleet.close());
    const engine = new FakeEngine();
    engine.release(5);
    const { side } = await fleet.startSide("scribe-1", engine, { config: fleet.sideConfig });
    const { url } = await fleet.startEntry("1");
    change(fleet, (leaving) => side.setLeaving(leaving));
    const caller = await streamChat(url).waitForEnd();
    const problem = JSON.parse(caller.body);
    assert.deepEqual([problem.type, problem.not_run], [reason, true], name);
    assert.equal(engine.runs.length, 0, name);
  }
});

// Guards against an operator route that accepts the key of an ordinary client account or no valid key.
test("only operators reach the operator interface", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const { url, entry } = await fleet.startEntry("1");
  const fetchJson = async (path: string, key: string) => {
    const res = await request(`${url}${path}`, { headers: { authorization: `Bearer ${key}` } });
    return [res.statusCode, await res.body.json()] as const;
  };
  assert.equal((await fetchJson("/admin/dump", "wrong"))[0], 401);
  assert.equal((await fetchJson("/admin/dump", CLIENT_KEY))[0], 403);
  const [code, dump] = await fetchJson("/admin/dump", OPERATOR_KEY);
  assert.equal(code, 200);
  assert.deepEqual(Object.keys(dump as object).sort(), ["directory", "requests"]);
  const undo = entry.registerAdminRoute("GET", "/admin/hello/:name", (_req, res, params) => {
    res.end(JSON.stringify(params.name));
  });
  assert.deepEqual(await fetchJson("/admin/hello/ama", OPERATOR_KEY), [200, "ama"]);
  undo();
  assert.equal((await fetchJson("/admin/hello/ama", OPERATOR_KEY))[0], 404);
});
