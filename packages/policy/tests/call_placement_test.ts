import assert from "node:assert/strict";
import { test } from "node:test";
import { Rng } from "@wisteriapick/core";
import { type CallCandidate, chooseCallEndpoint } from "../src/mod.ts";

interface Named extends CallCandidate {
  readonly name: string;
}

function makeCandidate(name: string, overrides: Partial<CallCandidate> = {}): Named {
  return {
    name,
    inFlight: 0,
    slots: 6,
    latencyMs: 20,
    isLocal: true,
    isConnected: true,
    ...overrides,
  };
}

function choose(candidates: Named[], gatewayCount = 4): string | undefined {
  return chooseCallEndpoint(candidates, { gatewayCount, rng: new Rng(3) })?.name;
}

test("without candidates no endpoint is chosen", () => {
  assert.equal(chooseCallEndpoint([], { gatewayCount: 4, rng: new Rng(1) }), null);
});

test("an idle endpoint in another data centre is preferred to a full one in its own", () => {
  const full = makeCandidate("near", { inFlight: 3 });
  const free = makeCandidate("far", { isLocal: false });
  assert.equal(choose([full, free]), "far");
});

test("among equally loaded endpoints the one in the own data centre is chosen", () => {
  const far = makeCandidate("far", { isLocal: false });
  assert.equal(choose([far, makeCandidate("near")]), "near");
});

test("an endpoint with a much longer response time is not chosen", () => {
  const slow = makeCandidate("slow", { latencyMs: 160 });
  assert.equal(choose([slow, makeCandidate("usual", { isLocal: false })]), "usual");
});

// Gateways with equal data would otherwise all choose the same endpoint and overload it.
test("calls are spread over equal endpoints", () => {
  const rng = new Rng(5);
  const candidates = ["a", "b", "c"].map((name) => makeCandidate(name));
  const counts = new Map<string, number>();
  for (let i = 0; i < 300; i++) {
    const { name } = chooseCallEndpoint(candidates, { gatewayCount: 4, rng })!;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  for (const name of ["a", "b", "c"]) assert.ok(counts.get(name)! > 60, `${name} was left out`);
});

// An endpoint without a known response time would never be chosen, so that its time would stay unknown.
test("an endpoint that is new, or back after an evacuation, is tried although others are known to be fast", () => {
  const known = makeCandidate("known", { latencyMs: 7, isLocal: false });
  assert.equal(choose([known, makeCandidate("new", { latencyMs: 0 })]), "new");
});
