import assert from "node:assert/strict";
import { test } from "node:test";
import { accountId, ManualClock, processId, Rng } from "@wisteriapick/core";
import { MemoryObjectStore } from "@wisteriapick/standins";
import { claimKey, ClaimSweep, IdempotencyClaims } from "../src/mod.ts";

const DAY_MS = 86_400_000;

// Guards against expired keys accumulating in the store, for example when the sweep stops after its first page.
test("a sweep deletes the idempotency keys past their retention, over several pages", async () => {
  const clock = new ManualClock();
  const store = new MemoryObjectStore({ clock });
  const claims = new IdempotencyClaims({ store, clock, claimsPerSecond: 1_000, burst: 1_000 });
  const account = accountId("museum-shop");
  for (let i = 0; i < 250; i++) await claims.claim(claimKey(account, `old-${i}`), "digest");
  clock.advance(DAY_MS + 1);
  await claims.claim(claimKey(account, "new"), "digest");
  const sweep = new ClaimSweep({ store, clock, process: processId("entry-1"), rng: new Rng(1) });
  assert.equal(await sweep.sweep(), true);
  const { objects } = await store.list("idempotency/");
  assert.deepEqual(objects.map((o) => o.key), [claimKey(account, "new")]);
});
