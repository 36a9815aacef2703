import assert from "node:assert/strict";
import { test } from "node:test";
import { Rng } from "@wisteriapick/core";
import { ColdLimiter } from "@wisteriapick/policy";
import { isWithinColdLimit } from "../src/relay/cold_limit.ts";
import type { RelayContext } from "../src/relay/context.ts";
import type { EndpointRow } from "../src/state/fleet.ts";
import { SCRIBE } from "./fixtures.ts";

const GATEWAYS = 30;
const PER_SECOND = 36;
const LIMITS = { rateFactor: 1.5, slack: 5 };

/** A gateway that reaches `reached` gateways of all. */
function makeContext(n: number, reached: number): RelayContext {
  return {
    fleet: { routes: { service: () => ({ coldPerSecond: PER_SECOND }) } },
    coldLimiter: new ColdLimiter(LIMITS, new Rng(n)),
    gatewayCount: () => reached,
    sharingCount: () => GATEWAYS,
  } as unknown as RelayContext;
}

// Guards against gateways behind partitions that each take a whole share of a cold endpoint, which crashes it.
test("gateways that are cut off from each other keep the limit of a cold endpoint together", () => {
  const row = { record: { id: "scribe-1", service: SCRIBE }, coldUntilMs: 5_000 };
  let sent = 0;
  for (let n = 0; n < GATEWAYS; n++) {
    const ctx = makeContext(n, 1);
    while (isWithinColdLimit(ctx, row as unknown as EndpointRow, 0)) {
      ctx.coldLimiter.recordSent("scribe-1", 0);
      sent++;
    }
  }
  const bound = PER_SECOND * LIMITS.rateFactor + LIMITS.slack;
  assert.ok(sent <= bound, `${sent} requests in a second, where ${bound} are allowed`);
});
