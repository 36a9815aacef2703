import assert from "node:assert/strict";
import { after, test } from "node:test";
import { accountId, ManualClock, toRefusal } from "@wisteriapick/core";
import { StaticConfigSource } from "@wisteriapick/control";
import type { AccountReports, Link } from "@wisteriapick/wire";
import { AccountLimiter, FixedAdmission, hashKey, LinkSource } from "../src/mod.ts";
import { CLIENT_KEY, FakeEngine, Fleet, makeConfig } from "./fixtures.ts";
import { type SseClient, streamChat } from "./sse_client.ts";

function limitedConfig(limits: Record<string, number>) {
  return makeConfig({ accounts: [{ id: "shop", keyHashes: [hashKey(CLIENT_KEY)], limits }] });
}

/** Links between gates in memory. */
class GateLinks extends LinkSource {
  readonly gates = new Map<string, AccountLimiter>();
  requests = 0;
  async get(address: string): Promise<Link> {
    const request = async (msg: AccountReports) => {
      this.requests++;
      return this.gates.get(address)!.handleReports(msg);
    };
    return { request } as unknown as Link;
  }
}

test("two entries together keep an account near its rate, through one keeper", async () => {
  const clock = new ManualClock();
  const config = new StaticConfigSource(limitedConfig({ requestsPerSecond: 10 }));
  const links = new GateLinks();
  const keys = ["entry-1", "entry-2"];
  for (const key of keys) {
    links.gates.set(key, new AccountLimiter({ self: key, clock, config, links }));
  }
  for (const gate of links.gates.values()) {
    gate.setMembers(keys.map((key) => ({ key, address: key })));
  }
  const account = config.current().accounts.get(accountId("shop"))!;
  const admitted = new Map(keys.map((key) => [key, 0]));
  const reasons = new Set<string>();
  const SECONDS = 60;
  for (let ms = 0; ms < SECONDS * 1_000; ms += 50) {
    clock.advance(50);
    for (const [key, gate] of links.gates) {
      try {
        gate.admit(account, 10);
        gate.release(account);
        if (ms >= SECONDS * 500) admitted.set(key, admitted.get(key)! + 1);
      } catch (e) {
        const { type, notRun } = toRefusal(e, "unknown");
        reasons.add(`${type} ${notRun}`);
      }
      gate.sendReports();
    }
    for (let turn = 0; turn < 5; turn++) await Promise.resolve();
  }
  assert.deepEqual([...reasons], ["account_rate_limit true"]);
  assert.ok(links.requests > 0);
  // 40 requests a second are offered; half of the time counts. The keeper's estimate settles at the limit.
  const total = [...admitted.values()].reduce((a, b) => a + b, 0);
  assert.ok(Math.abs(total - 10 * SECONDS / 2) <= 60, `${total} admitted`);
});

test("an account above its concurrency is refused with 429 and not run", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  fleet.config.set(limitedConfig({ concurrency: 1 }));
  const engine = new FakeEngine();
  engine.release(1);
  // More slots than requests that pass before the first answer of the keeper, on a busy machine too.
  await fleet.startSide("scribe-1", engine, { admission: new FixedAdmission({ slots: 1_000 }) });
  const { url } = await fleet.startEntry("1");
  const callers: SseClient[] = [];
  let refused: SseClient | null = null;
  // The first requests pass until the account's keeper has answered the entry.
  while (refused === null) {
    const caller = streamChat(url);
    await caller.waitForTokens(1);
    if (caller.status === 429) refused = caller;
    else callers.push(caller);
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  const problem = JSON.parse(refused.body);
  assert.deepEqual([problem.type, problem.not_run], ["account_concurrency_limit", true]);
  assert.equal(engine.runs.length, callers.length);
  engine.release(5);
  for (const caller of callers) assert.equal((await caller.waitForEnd()).isCompleted, true);
});
