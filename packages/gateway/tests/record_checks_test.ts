import assert from "node:assert/strict";
import { test } from "node:test";
import { toWpError } from "@wisteriapick/core";
import fc from "fast-check";
import { checkRecord } from "../src/config/record_checks.ts";
import { FOLLOWED_KINDS, type FollowedKind, type ViewItems } from "../src/state/store_view.ts";
import { makeConfig, makeEndpoint, makeMove, makeRoute, OSU, SCRIBE } from "./fixtures.ts";

const SOUND: { readonly [K in FollowedKind]: ViewItems[K] } = {
  config: makeConfig({
    services: [{
      id: SCRIBE,
      healthPath: "/health",
      maxConnections: 50,
      coldStartMs: 1_000,
      coldPerSecond: 36,
      engine: {
        slots: 24,
        memoryTokens: 34_000,
        tokenBytes: 163_840,
        linkMbps: 24_000,
        tokensPerEvent: 4,
        canCopyRuns: true,
        canBackUpRuns: false,
        copyTtlMs: 5_000,
      },
    }],
  }),
  endpoints: makeEndpoint("scribe-1"),
  evacuations: { dataCentre: OSU },
  moves: makeMove(),
};

function failureOf(kind: FollowedKind, value: unknown): string | null {
  try {
    checkRecord(kind, value);
    return null;
  } catch (e) {
    return toWpError(e).message;
  }
}

for (const kind of FOLLOWED_KINDS) {
  // Guards against a check that refuses what gateways send each other today.
  test(`a sound object of ${kind} passes, also as JSON`, () => {
    assert.equal(failureOf(kind, SOUND[kind]), null);
    assert.equal(failureOf(kind, JSON.parse(JSON.stringify(SOUND[kind]))), null);
  });

  // Guards against an object that is believed although a field has another type.
  test(`no value of another type in place of a field of ${kind} makes the check raise something else`, () => {
    const fields = Object.keys(SOUND[kind]);
    fc.assert(
      fc.property(fc.constantFrom(...fields), fc.jsonValue(), (field, odd) => {
        failureOf(kind, { ...SOUND[kind], [field]: odd });
      }),
      { numRuns: 500, seed: 44 },
    );
  });
}

// Guards against a path without an end, by which the index of routes is built for ever until memory is exhausted.
for (const pathPrefix of ["/drafts", "drafts/", "", 7]) {
  test(`a route with the prefix ${JSON.stringify(pathPrefix)} is refused`, () => {
    const route = { ...makeRoute(), pathPrefix };
    assert.match(failureOf("config", { ...SOUND.config, routes: [route] })!, /pathPrefix/);
  });
}

const ODD_ADDRESSES = [
  { host: 7, port: 80 },
  { host: "127.0.0.1", port: "80" },
  { host: "127.0.0.1", port: 65_536 },
  { host: "127.0.0.1", port: 0.5 },
  { host: "counter.example", port: 80 },
  null,
];

// Guards against addresses of which a connection cannot be made.
for (const address of ODD_ADDRESSES) {
  test(`an endpoint with the address ${JSON.stringify(address)} is refused`, () => {
    assert.notEqual(failureOf("endpoints", { ...SOUND.endpoints, address }), null);
  });
}

// Guards against a release that drops all endpoints of a peer whose release does not know a field yet.
test("an endpoint without the fields that may be null passes", () => {
  const { sequence: _, startedAtUnixMs: __, ...older } = makeEndpoint("scribe-1");
  assert.equal(failureOf("endpoints", older), null);
});

// Guards against requests that go to this host itself, as a peer believes an address that the store's adapter refuses.
for (const address of [{ host: "0.0.0.0", port: 80 }, { host: "10.0.0.1", port: 0 }]) {
  test(`an endpoint at ${JSON.stringify(address)}, from a peer, is refused`, () => {
    assert.notEqual(failureOf("endpoints", { ...SOUND.endpoints, address }), null);
  });
}
