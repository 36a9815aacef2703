import assert from "node:assert/strict";
import { after, test } from "node:test";
import { MemoryObjectStore, PromiseCrowd } from "@wisteriapick/standins";
import { request } from "undici";
import { FixedAdmission } from "../src/fixed_admission.ts";
import { FakeEngine } from "./fake_engine.ts";
import { CLIENT_KEY, Fleet, OTHER_KEY, waitUntil } from "./fixtures.ts";
import { TestService } from "./plain_service.ts";

const CALLERS = 40;
const REQUESTS_AHEAD = 8;
const NOT_RUN = /"not_run":true/;

/** Sends a crowd's requests, and waits until all are answered or their connections closed. Returns the crowd. */
async function sendCrowd(url: string, requestOf: (id: string) => string): Promise<PromiseCrowd> {
  const { hostname: host, port } = new URL(url);
  const crowd = new PromiseCrowd();
  after(() => crowd.close());
  for (let i = 0; i < CALLERS; i++) {
    const requests = Array.from({ length: REQUESTS_AHEAD }, (_, n) => {
      const id = `ahead-${i}-${n}.`;
      return { id, bytes: Buffer.from(requestOf(id)) };
    });
    crowd.add({ host, port: Number(port) }, requests);
  }
  await waitUntil(() => crowd.isOver);
  return crowd;
}

/** Checks the promise of refusals, and that there were some. `ran` has the ids of requests that ran. */
function assertPromises(crowd: PromiseCrowd, ran: readonly string[]): void {
  const refused = [...crowd.responses()].filter(([, { body }]) => NOT_RUN.test(body));
  assert.ok(refused.length > 0, "the crowd was not refused anything");
  const ids = new Set(ran);
  assert.deepEqual(refused.filter(([id]) => ids.has(id)), []);
  assert.equal(ids.size, ran.length, "a request ran twice");
}

function post(path: string, fields: string, body: string): string {
  const head = `POST ${path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${CLIENT_KEY}\r\n`;
  return `${head}${fields}Content-Length: ${body.length}\r\n\r\n${body}`;
}

// Guards against a call that is refused as not run and has run, and against one that runs twice.
for (const hasKey of [false, true]) {
  const what = hasKey ? "orders with a key" : "orders";
  test(`${what} of a crowd that are refused never run, and none runs twice`, async () => {
    const fleet = new Fleet();
    after(() => fleet.close());
    const service = new TestService();
    const origin = await service.listen();
    after(() => service.close());
    service.onRequest = (_req, res) => void setTimeout(() => res.end("{}"), 50);
    for (const name of ["counter-1", "counter-2"]) {
      await fleet.startSide(name, null, { service: "counter", origin });
    }
    const store = new MemoryObjectStore({ clock: fleet.clock });
    const { url } = await fleet.startEntry("1", { store, idempotency: { retryDelayMs: 1 } });
    const path = "/services/counter/orders";
    const other = { method: "POST", headers: { authorization: `Bearer ${OTHER_KEY}` } } as const;
    await (await request(`${url}${path}`, other)).body.dump();
    const crowd = await sendCrowd(url, (id) => {
      return post(path, hasKey ? `Idempotency-Key: ${id}\r\n` : "", `${id} ${"x".repeat(20_000)}`);
    });
    assertPromises(crowd, service.requests.flatMap(({ body }) => body.match(/^ahead-\S+/) ?? []));
  });
}

// Guards against the same of generations.
test("generations of a crowd that are refused never run, and none runs twice", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engines = [new FakeEngine(), new FakeEngine()];
  for (const [i, engine] of engines.entries()) {
    // Generations that take their time leave no room for others.
    engine.onRun = () => void setTimeout(() => engine.release(5), 2_000);
    await fleet.startSide(`scribe-${i}`, engine, {
      admission: new FixedAdmission({ slots: 2, queueLength: 2 }),
    });
  }
  const { url } = await fleet.startEntry("1");
  const crowd = await sendCrowd(url, (id) => {
    return post(
      "/v1/completions",
      "X-Deadline-Ms: 1000\r\n",
      JSON.stringify({ model: "scribe", prompt: id }),
    );
  });
  const prompts = engines.flatMap(({ runs }) => runs.map((run) => JSON.stringify(run)));
  assertPromises(crowd, prompts.flatMap((prompt) => prompt.match(/ahead-\d+-\d+\./) ?? []));
});
