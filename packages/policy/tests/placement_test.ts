import assert from "node:assert/strict";
import { test } from "node:test";
import { dataCentreId, endpointId, hostId, Rng, serviceId, versionId } from "@wisteriapick/core";
import {
  LOCAL,
  makeInfo,
  makeLoad,
  makePlacement,
  makePlacementRequest,
  REMOTE,
  SERVICE,
} from "./fixtures.ts";
import { SubsetPlacement } from "../src/mod.ts";

const names = (n: number) => Array.from({ length: n }, (_, i) => `e-${i}`);
const infos = (n: number) => names(n).map((name) => makeInfo(name));

test("every entry uses all endpoints of a service with three", () => {
  for (const entry of ["entry-1", "entry-2", "entry-3"]) {
    assert.equal(makePlacement(infos(3), { entry }).subset(SERVICE).length, 3);
  }
});

// Each change of the subset opens and closes links and loses what is known of an endpoint.
test("a subset stays small and changes by at most one endpoint when one leaves", () => {
  const placement = makePlacement(infos(300));
  const before = placement.subset(SERVICE);
  placement.removeEndpoint(before[0]!);
  const after = placement.subset(SERVICE);
  assert.equal(after.length, before.length);
  assert.equal(after.filter((e) => !before.includes(e)).length, 1);
});

// Load reports are late: an endpoint that reports itself idle would get all requests until the next report.
test("an entry does not send all requests to one endpoint between two load reports", () => {
  const placement = makePlacement(infos(4));
  const req = makePlacementRequest();
  names(4).forEach((name, i) => {
    // The first endpoint reports that it is idle, as after a return to service.
    placement.recordLoad(makeLoad(endpointId(name), { running: i === 0 ? 0 : 4 }), 0);
  });
  const counts = new Map<string, number>();
  for (let i = 0; i < 24; i++) {
    const chosen = placement.choose(req, 10)!;
    placement.recordSent(chosen, req, 10);
    counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
  }
  assert.ok(Math.max(...counts.values()) <= 12, JSON.stringify([...counts]));
  assert.equal(counts.size, 4);
});

test("an endpoint of unknown load gets one request at a time until its first response", () => {
  const placement = makePlacement([makeInfo("new"), makeInfo("known")]);
  placement.recordLoad(makeLoad(endpointId("known"), { running: 15 }), 0);
  const req = makePlacementRequest();
  let sent = 0;
  for (let i = 0; i < 4; i++) {
    const chosen = placement.choose(req, 1)!;
    placement.recordSent(chosen, req, 1);
    if (chosen === "new") sent++;
  }
  assert.equal(sent, 1);
});

test("a request stays in its data centre until another one is much less loaded", () => {
  const placement = makePlacement([makeInfo("near"), makeInfo("far", REMOTE)]);
  placement.recordLoad(makeLoad(endpointId("near"), { running: 1 }), 0);
  placement.recordLoad(makeLoad(endpointId("far")), 0);
  assert.equal(placement.choose(makePlacementRequest(), 1), "near");
  placement.recordLoad(makeLoad(endpointId("near"), { running: 19, seq: 2 }), 0);
  assert.equal(placement.choose(makePlacementRequest(), 1), "far");
});

test("no endpoint in a data centre that is not in use is chosen", () => {
  const placement = makePlacement([makeInfo("near"), makeInfo("far", REMOTE)]);
  placement.setDataCentres(new Set([REMOTE]));
  assert.equal(placement.choose(makePlacementRequest(), 1), "far");
  placement.setDataCentres(new Set([LOCAL]));
  assert.equal(placement.choose(makePlacementRequest(), 1), "near");
  placement.setDataCentres(new Set());
  assert.equal(placement.choose(makePlacementRequest(), 1), null);
});

// An endpoint with a popular prefix would otherwise be overloaded.
test("an endpoint with a cached prefix is preferred only while its load allows it", () => {
  const placement = makePlacement([makeInfo("cached"), makeInfo("other")]);
  const req = makePlacementRequest({ prefixes: ["p1", "p2"] });
  placement.recordCacheEvent(endpointId("cached"), "stored", "p1");
  placement.recordCacheEvent(endpointId("cached"), "stored", "p2");
  placement.recordLoad(makeLoad(endpointId("cached"), { running: 3 }), 0);
  placement.recordLoad(makeLoad(endpointId("other"), { running: 2 }), 0);
  assert.equal(placement.choose(req, 1), "cached");
  placement.recordLoad(makeLoad(endpointId("cached"), { running: 20, seq: 2 }), 0);
  assert.equal(placement.choose(req, 1), "other");
});

test("a leaving endpoint gets no more requests", () => {
  const placement = makePlacement([makeInfo("a"), makeInfo("b")]);
  placement.recordLoad(makeLoad(endpointId("a"), { leaving: true }), 0);
  placement.recordLoad(makeLoad(endpointId("b"), { running: 19 }), 0);
  assert.equal(placement.choose(makePlacementRequest(), 1), "b");
});

function recordAttempts(
  placement: ReturnType<typeof makePlacement>,
  name: string,
  { failed, gapMs }: { failed: boolean; gapMs: number },
): void {
  const endpoint = endpointId(name);
  const req = makePlacementRequest();
  for (let i = 0; i < 30; i++) {
    placement.recordSent(endpoint, req, i);
    for (let g = 0; g < 4; g++) placement.recordOutcome(endpoint, { type: "gap", gapMs }, i);
    placement.recordOutcome(
      endpoint,
      failed ? { type: "failed", reason: "engine_failed" } : { type: "ended" },
      i,
    );
  }
}

test("a failing endpoint is ejected and returns after a while", () => {
  const placement = makePlacement(infos(4));
  for (const name of names(4)) {
    placement.recordLoad(makeLoad(endpointId(name)), 0);
    recordAttempts(placement, name, { failed: name === "e-0", gapMs: 25 });
  }
  placement.choose(makePlacementRequest(), 100);
  assert.deepEqual(placement.ejected(100), ["e-0"]);
  assert.deepEqual(placement.ejected(100_000), []);
});

// Failures alone would not show such an endpoint.
test("a slow endpoint that completes all requests is ejected", () => {
  const placement = makePlacement(infos(4));
  for (const name of names(4)) {
    recordAttempts(placement, name, { failed: false, gapMs: name === "e-1" ? 90 : 25 });
  }
  placement.choose(makePlacementRequest(), 100);
  assert.deepEqual(placement.ejected(100), ["e-1"]);
});

// A common fault is no fault of the endpoints: ejecting them all would leave none in service.
test("a fault common to most endpoints ejects at most half of them", () => {
  const placement = makePlacement(infos(6));
  names(6).forEach((name, i) => {
    if (i < 5) recordAttempts(placement, name, { failed: true, gapMs: 25 });
  });
  for (let t = 100; t < 1_000; t += 100) placement.choose(makePlacementRequest(), t);
  assert.ok(placement.ejected(1_000).length <= 3);
  assert.notEqual(placement.choose(makePlacementRequest(), 1_000), null);
});

// In a subset common to all versions, the few endpoints of a new version would be missing at most entries.
test("an entry's subset includes the endpoints of a version that few of many run", () => {
  const dataCentre = dataCentreId("osu");
  const placement = new SubsetPlacement({ entry: "entry-1", dataCentre, rng: new Rng(1) });
  const service = serviceId("scribe");
  const place = (i: number, version: string) => {
    const endpoint = endpointId(`e-${i}`);
    const host = hostId(`h-${i}`);
    placement.setEndpoint({ endpoint, service, host, dataCentre, version: versionId(version) });
  };
  for (let i = 0; i < 700; i++) place(i, i < 3 ? "v2" : "v1");
  const subset = placement.subset(service);
  assert.equal(subset.filter((id) => ["e-0", "e-1", "e-2"].includes(id)).length, 3);
  place(3, "v2");
  assert.ok(
    placement.subset(service).includes(endpointId("e-3")),
    "an endpoint whose version has changed is included",
  );
});
