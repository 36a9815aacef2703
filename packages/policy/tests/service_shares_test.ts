import assert from "node:assert/strict";
import { test } from "node:test";
import { accountId, serviceId } from "@wisteriapick/core";
import { ServiceShares } from "../src/mod.ts";

const SERVICE = serviceId("scribe");
const CROWD = accountId("crowd");
const SHOP = accountId("shop");

/** Begins requests until one is not taken. Returns how many were. */
function fill(shares: ServiceShares, places: number, nowMs: number): number {
  let taken = 0;
  while (taken < 1_000 && shares.begin(SERVICE, CROWD, { places, nowMs })) taken++;
  return taken;
}

// Guards against places that stay unused although nobody else wants them.
test("an account that is alone has all places, also when others used the service long ago", () => {
  const shares = new ServiceShares();
  assert.equal(fill(shares, 8, 0), 1_000);
  const later = new ServiceShares();
  later.begin(SERVICE, SHOP, { places: 8, nowMs: 0 });
  later.end(SERVICE, SHOP, 0);
  assert.equal(fill(later, 8, 60_000), 1_000);
});

// Guards against an account that takes every place before the others come back.
test("an account has three quarters of the places while others use the service", () => {
  const shares = new ServiceShares();
  shares.begin(SERVICE, SHOP, { places: 8, nowMs: 0 });
  shares.end(SERVICE, SHOP, 0);
  assert.equal(fill(shares, 8, 59_999), 6);
  assert.equal(shares.begin(SERVICE, SHOP, { places: 8, nowMs: 59_999 }), true);
  shares.end(SERVICE, CROWD, 60_000);
  assert.equal(fill(shares, 8, 60_000), 1);
  assert.equal(fill(shares, 12, 60_000), 3, "the share grows with the places");
});

// Guards against a service of which nothing is known yet, or that has one place, and that nobody can use.
test("an account has at least one place, and no bound while the places are not known", () => {
  const shares = new ServiceShares();
  shares.begin(SERVICE, SHOP, { places: 1, nowMs: 0 });
  assert.equal(fill(shares, 1, 0), 1);
  assert.equal(shares.begin(serviceId("counter"), CROWD, { places: 1, nowMs: 0 }), true);
  const unknown = new ServiceShares();
  unknown.begin(SERVICE, SHOP, { places: 0, nowMs: 0 });
  assert.equal(fill(unknown, 0, 0), 1_000);
});

// Guards against a limit that an ordinary account meets in calm: places that nobody asks for stay free.
test("an account is not refused while places are free and nobody else asks for one", () => {
  const shares = new ServiceShares();
  shares.begin(SERVICE, SHOP, { places: 10, nowMs: 0 });
  shares.end(SERVICE, SHOP, 0);
  const taken = Array.from(
    { length: 10 },
    () => shares.begin(SERVICE, CROWD, { places: 10, nowMs: 30_000 }),
  );
  assert.ok(taken.every((isTaken) => isTaken));
});
