import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { accountId } from "@wisteriapick/core";
import { applyConfigPatch, diffConfig, shareUnchanged } from "../src/config/config_patch.ts";
import type { GatewayConfig, RouteConfig } from "../src/config/types.ts";
import { makeConfig, makeRoute, makeRoutes } from "./fixtures.ts";

const ROUTES = makeRoutes(12);

/** Routes in the order of `ROUTES`, some of them missing or changed. */
const arbitraryRoutes = fc
  .tuple(fc.subarray(ROUTES), fc.integer({ min: 0, max: 12 }))
  .map(([routes, every]) =>
    routes.map((route, i): RouteConfig =>
      every > 0 && i % every === 0 ? { ...route, timeoutMs: 1_000 + every } : route
    )
  );

const arbitraryConfig = fc
  .record({ routes: arbitraryRoutes, version: fc.nat(), keys: fc.array(fc.string()) })
  .map(({ routes, version, keys }): GatewayConfig => {
    const accounts = [{ id: accountId("a"), keys, priority: null, regions: [] }];
    return makeConfig({ routes, version, accounts });
  });

test("a patch turns one configuration into the other", () => {
  fc.assert(
    fc.property(arbitraryConfig, arbitraryConfig, (before, after) => {
      const patch = diffConfig(before, after);
      assert.notEqual(patch, null);
      assert.deepEqual(applyConfigPatch(before, patch!), after);
    }),
    { seed: 18 },
  );
});

// Guards against a patch that keeps the old order, which decides between routes with the same prefix.
test("a change of order cannot be expressed as a patch", () => {
  const before = makeConfig({ routes: ROUTES });
  assert.equal(diffConfig(before, makeConfig({ routes: ROUTES.toReversed() })), null);
});

test("repeated ids cannot be expressed as a patch", () => {
  const once = makeConfig();
  const twice = makeConfig({ routes: [makeRoute(), makeRoute({ priority: 3 })] });
  assert.equal(diffConfig(once, twice), null);
  assert.equal(diffConfig(twice, once), null);
});

test("a patch contains what has changed and no more", () => {
  const before = makeConfig({ routes: ROUTES });
  const changed = { ...ROUTES[3]!, timeoutMs: 5 };
  const added = makeRoutes(14).slice(12);
  const routes = [...ROUTES.with(3, changed).filter((_, i) => i !== 7), ...added];
  const patch = diffConfig(before, makeConfig({ routes }));
  assert.deepEqual(patch?.routes, {
    removed: [ROUTES[7]!.id],
    changed: [changed],
    added: [[11, added[0]], [12, added[1]]],
  });
});

// Guards against memory that grows with each version of a large configuration.
test("versions share the routes that are equal", () => {
  const before = makeConfig({ routes: ROUTES });
  const after = structuredClone(makeConfig({ version: 2, routes: ROUTES }));
  const shared = shareUnchanged(before, after);
  assert.equal(shared.version, 2);
  assert.ok(shared.routes.every((route, i) => route === ROUTES[i]));
});
