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

/** Links in memory between the limiters of several entries. */
class InMemoryLinks extends LinkSource {
  readonly limiters = new Map<string, AccountLimiter>();
  requests = 0;
  async get(address: string): Promise<Link> {
    const request = async (msg: AccountReports) => {
      this.requests++;
      return this.limiters.get(address)!.handleReports(msg);
    };
    return { request } as unknown as Link;
  }
}

// Guards against entries that each admit the full rate of an account because they do not share its use.
test("two entries that share a coordinator keep an account near its rate limit", async () => {
  const clock = new ManualClock();
  const config = new StaticConfigSource(limitedConfig({ requestsPerSecond: 10 }));
  const links = new InMemoryLinks();
  const keys = ["entry-1", "entry-2"];
  for (const key of keys) {
    links.limiters.set(key, new AccountLimiter({ self: key, clock, config, links }));
  }
  for (const limiter of links.limiters.values()) {
    limiter.setMembers(keys.map((key) => ({ key, address: key })));
  }
  const account = config.current().accounts.get(accountId("shop"))!;
  const admitted = new Map(keys.map((key) => [key, 0]));
  const reasons = new Set<string>();
  const SECONDS = 60;
  for (let ms = 0; ms < SECONDS * 1_000; ms += 50) {
    clock.advance(50);
    for (const [key, limiter] of links.limiters) {
      try {
        limiter.admit(account, 10);
        limiter.release(account);
        if (ms >= SECONDS * 500) admitted.set(key, admitted.get(key)! + 1);
      } catch (e) {
        const { type, notRun } = toRefusal(e, "unknown");
        reasons.add(`${type} ${notRun}`);
      }
      limiter.sendReports();
    }
    for (let turn = 0; turn < 5; turn++) await Promise.resolve();
  }
  assert.deepEqual([...reasons], ["account_rate_limit true"]);
  assert.ok(links.requests > 0);
  // 40 requests a second are offered. Only the second half is counted, when the coordinator's estimate has settled.
  const total = [...admitted.values()].reduce((a, b) => a + b, 0);
  assert.ok(Math.abs(total - 10 * SECONDS / 2) <= 60, `${total} admitted`);
});

// Guards against requests above the limit that still reach an engine, or are refused without not_run.
test("a request above its account's concurrency limit is refused with 429 and not run", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  fleet.config.set(limitedConfig({ concurrency: 1 }));
  const engine = new FakeEngine();
  engine.release(1);
  // More slots than requests that pass before the coordinator's first grant, even on a busy machine.
  await fleet.startSide("scribe-1", engine, { admission: new FixedAdmission({ slots: 1_000 }) });
  const { url } = await fleet.startEntry("1");
  const callers: SseClient[] = [];
  let refused: SseClient | null = null;
  // Requests pass until the entry has received the coordinator's first grant.
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
