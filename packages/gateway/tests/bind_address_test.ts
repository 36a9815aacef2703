import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import { bindAddress } from "../src/surface/bind_address.ts";
import { MemoryLog, settle } from "./fixtures.ts";

const STEP_MS = 100;

/** Binds an address that fails with `code` until `freeAtMs`, and returns how that ended. */
async function bind(code: string, freeAtMs: number): Promise<string> {
  const clock = new ManualClock();
  const listen = () => {
    if (clock.now() >= freeAtMs) return Promise.resolve();
    // As a link's listener reports it.
    const cause = Object.assign(new Error("bind failed"), { code });
    return Promise.reject(new Error("cannot listen", { cause }));
  };
  let outcome = "pending";
  bindAddress(listen, { clock, log: new MemoryLog(), what: "callers", isStopped: () => false })
    .then(() => outcome = "bound", () => outcome = "failed");
  for (let ms = 0; ms < 20_000 && outcome === "pending"; ms += STEP_MS) {
    await settle();
    clock.advance(STEP_MS);
  }
  return outcome;
}

// Guards against a process that does not start as its predecessor or its host is not ready yet (FAULT).
for (const code of ["EADDRINUSE", "EADDRNOTAVAIL"]) {
  test(`an address that fails with ${code} for 3 s is bound then`, async () => {
    assert.equal(await bind(code, 3_000), "bound");
  });

  test(`an address that fails with ${code} all the time is an error`, async () => {
    assert.equal(await bind(code, Infinity), "failed");
  });
}

test("an address that may not be bound is an error at once", async () => {
  assert.equal(await bind("EACCES", 200), "failed");
});
