import assert from "node:assert/strict";
import { test } from "node:test";
import { accountId, serviceId } from "@wisteriapick/core";
import { ServiceShares, SHARE_HOLD_MS } from "../src/mod.ts";

const SERVICE = serviceId("scribe");
const CROWD = accountId("crowd");
const SHOP = accountId("shop");

/** Asks for so many places at once, and settles what is held. Returns the number of requests that began. */
function ask(
  shares: ServiceShares,
  { count = 1_000, places, nowMs }: {
    readonly count?: number;
    readonly places: number;
    readonly nowMs: number;
  },
): number {
  const asked = Array.from({ length: count }, () => shares.ask(SERVICE, CROWD, { places, nowMs }));
  const settled = asked.filter((decision) => decision === "hold")
    .map(() => shares.settle(SERVICE, CROWD, { places, nowMs: nowMs + SHARE_HOLD_MS }));
  return [...asked, ...settled].filter((decision) => decision === "begin").length;
}

/** Returns the use of a service that another account has used at the time 0. */
function usedByShop(places: number): ServiceShares {
  const shares = new ServiceShares();
  shares.ask(SERVICE, SHOP, { places, nowMs: 0 });
  shares.end(SERVICE, SHOP, 0);
  return shares;
}

// Guards against places that stay unused although nobody else wants them.
test("an account that is alone has all places, also when others used the service long ago", () => {
  assert.equal(ask(new ServiceShares(), { places: 8, nowMs: 0 }), 1_000);
  assert.equal(ask(usedByShop(8), { places: 8, nowMs: 60_000 }), 1_000);
});

// Guards against an account that takes every place before the others come back.
test("an account that asks for more has three quarters of the places while others use them", () => {
  const shares = usedByShop(8);
  const nowMs = 59_800;
  assert.equal(ask(shares, { places: 8, nowMs }), 6);
  assert.equal(shares.ask(SERVICE, SHOP, { places: 8, nowMs }), "begin");
  shares.end(SERVICE, CROWD, nowMs);
  assert.equal(ask(shares, { places: 8, nowMs }), 1);
  assert.equal(ask(shares, { places: 12, nowMs }), 3, "the share grows with the places");
});

// Guards against a crowd that takes the last quarter as soon as it pauses for the time of a hold.
test("an account is bounded for a while after it asked for more than all places", () => {
  const shares = usedByShop(8);
  assert.equal(ask(shares, { places: 8, nowMs: 0 }), 6);
  assert.equal(ask(shares, { count: 1, places: 8, nowMs: 9_999 }), 0);
  assert.equal(ask(shares, { count: 1, places: 8, nowMs: 10_000 }), 1);
});

// Guards against a service of which nothing is known yet, or that has one place, and that nobody can use.
test("an account has at least one place, and no bound while the places are not known", () => {
  const shares = new ServiceShares();
  shares.ask(SERVICE, SHOP, { places: 1, nowMs: 0 });
  assert.equal(ask(shares, { places: 1, nowMs: 0 }), 1);
  assert.equal(shares.ask(serviceId("counter"), CROWD, { places: 1, nowMs: 0 }), "begin");
  const unknown = new ServiceShares();
  unknown.ask(SERVICE, SHOP, { places: 0, nowMs: 0 });
  assert.equal(ask(unknown, { places: 0, nowMs: 0 }), 1_000);
});

// Guards against a limit that an ordinary account meets in calm: places that nobody asks for stay free.
test("an account is not refused while places are free and nobody else asks for one", () => {
  assert.equal(ask(usedByShop(10), { count: 10, places: 10, nowMs: 30_000 }), 10);
});
