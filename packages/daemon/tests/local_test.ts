import assert from "node:assert/strict";
import { test } from "node:test";
import { OperatorClient } from "@wisteriapick/control";
import { createLogger, generationId } from "@wisteriapick/core";
import { expectedText } from "@wisteriapick/standins";
import { startLocal } from "../src/mod.ts";

const log = createLogger("test", { level: "silent" });

// Guards against a process of the deployment that fails to work with the others over real sockets.
test("the local system answers generations, stock checks and orders", async () => {
  const system = await startLocal({ port: 0, log });
  try {
    const authorization = `Bearer ${system.key}`;
    const prompt = "Describe a kente postcard [tokens=12]";
    const res = await fetch(`${system.url}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization, "content-type": "application/json" },
      body: JSON.stringify({ model: "scribe", messages: [{ role: "user", content: prompt }] }),
    });
    const completion = await res.json() as {
      id: string;
      choices: { message: { content: string } }[];
      usage: { completion_tokens: number };
    };
    assert.equal(res.status, 200);
    assert.equal(completion.usage.completion_tokens, 12);
    const runs = [...system.engines.values()].flatMap((e) => [...e.runs]);
    assert.equal(runs.length, 1);
    const [gen, count] = runs[0]!;
    assert.equal(count, 1);
    assert.match(completion.id, new RegExp(gen));
    assert.equal(completion.choices[0]!.message.content.split(" ").length, 12);

    const base = `${system.url}/services/counter`;
    const stock = await fetch(`${base}/stock/kente-7`, { headers: { authorization } });
    assert.equal(stock.status, 200);
    const order = () =>
      fetch(`${base}/orders`, {
        method: "POST",
        headers: {
          authorization,
          "content-type": "application/json",
          "idempotency-key": "order-1",
        },
        body: JSON.stringify({ order: "o-1" }),
      });
    assert.deepEqual([(await order()).status, (await order()).status], [201, 201]);
    const counter = [...system.counters.values()][0]!;
    assert.equal(counter.orderRuns.get("o-1"), 1);
  } finally {
    await system.close();
  }
});

// Guards against a status that reports every process as silent because the survey's own abort settles first.
test("the operator's status reports the revision of every process", async () => {
  const system = await startLocal({ port: 0, log });
  try {
    const client = new OperatorClient({ url: system.url, key: system.operatorKey });
    const { revision, processes } = await client.status();
    assert.equal(processes.length, 14);
    assert.deepEqual(processes.filter((p) => p.revision !== revision), []);
    assert.equal(Object.keys((await client.dump())["directory"]!).length, 13);
  } finally {
    await system.close();
  }
});

// Guards against a fixed port, with which two local systems could not run at the same time.
test("the local system uses another port when its preferred one is in use", async () => {
  const first = await startLocal({ port: 0, log });
  const taken = Number(new URL(first.url).port);
  const second = await startLocal({ port: taken, log });
  assert.notEqual(second.url, first.url);
  await second.close();
  await first.close();
});

test("the text of a generation depends only on its id and prompt", () => {
  const gen = generationId("g-1");
  assert.equal(expectedText(gen, "p", 5), expectedText(gen, "p", 5));
  assert.notEqual(expectedText(gen, "p", 5), expectedText(generationId("g-2"), "p", 5));
});
