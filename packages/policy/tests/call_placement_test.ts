import assert from "node:assert/strict";
import { test } from "node:test";
import { Rng } from "@wisteriapick/core";
import { type CallCandidate, chooseCallEndpoint } from "../src/mod.ts";

interface Named extends CallCandidate {
  readonly name: string;
}

function makeCandidate(name: string, part: Partial<CallCandidate> = {}): Named {
  return {
    name,
    inFlight: 0,
    slots: 6,
    latencyMs: 20,
    isLocal: true,
    isConnected: true,
    ...part,
  };
}

function choose(candidates: Named[], gatewayCount = 4): string | undefined {
  return chooseCallEndpoint(candidates, { gatewayCount, rng: new Rng(3) })?.name;
}

test("no candidate is chosen where there is none", () => {
  assert.equal(chooseCallEndpoint([], { gatewayCount: 4, rng: new Rng(1) }), null);
});

test("a full endpoint next door loses against a free one far away", () => {
  const full = makeCandidate("near", { inFlight: 3 });
  const free = makeCandidate("far", { isLocal: false });
  assert.equal(choose([full, free]), "far");
});

test("with equal load the endpoint of the own data centre is chosen", () => {
  const far = makeCandidate("far", { isLocal: false });
  assert.equal(choose([far, makeCandidate("near")]), "near");
});

test("a slow endpoint is left to others", () => {
  const slow = makeCandidate("slow", { latencyMs: 160 });
  assert.equal(choose([slow, makeCandidate("usual", { isLocal: false })]), "usual");
});

test("equal endpoints share calls, so that gateways do not all turn to one", () => {
  const rng = new Rng(5);
  const candidates = ["a", "b", "c"].map((name) => makeCandidate(name));
  const counts = new Map<string, number>();
  for (let i = 0; i < 300; i++) {
    const { name } = chooseCallEndpoint(candidates, { gatewayCount: 4, rng })!;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  for (const name of ["a", "b", "c"]) assert.ok(counts.get(name)! > 60, `${name} was left out`);
});

test("an endpoint that is new, or back after an evacuation, is tried although others are known to be quick", () => {
  const known = makeCandidate("known", { latencyMs: 7, isLocal: false });
  assert.equal(choose([known, makeCandidate("new", { latencyMs: 0 })]), "new");
});
