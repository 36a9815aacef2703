import assert from "node:assert/strict";
import { test } from "node:test";
import { endpointId, ManualClock, routeId } from "@wisteriapick/core";
import type { CopyTarget } from "@wisteriapick/policy";
import { CopyCoordinator, type PendingCopyGrant } from "../src/peers/copy_coordinator.ts";
import { MemoryLog, SCRIBE, settle } from "./fixtures.ts";
import { MemoryLinks } from "./memory_peers.ts";

const TARGETS: readonly CopyTarget[] = [{ endpoint: "scribe-2", peak: 0.4, copyMs: 200 }];

function makeCoordinators(names: readonly string[]) {
  const clock = new ManualClock();
  const links = new MemoryLinks();
  const networks = names.map((name) => links.join(name));
  const log = new MemoryLog();
  const coordinators = networks.map((network) =>
    new CopyCoordinator({ network, clock, log, targets: () => TARGETS })
  );
  return { clock, links, networks, coordinators, log };
}

function makeRequest(index: number) {
  return {
    service: SCRIBE,
    source: endpointId("scribe-1"),
    route: routeId("drafts"),
    promptTokens: 3_000,
    producedTokens: 100 * index,
    maxTokens: 2_000,
    refused: [],
    heldBy: null,
    heldTokens: 0,
    isAhead: false,
  };
}

// Guards against copies of several gateways that share a link and all become too slow.
test("gateways that copy runs from the same engine get grants one at a time", async () => {
  const { coordinators } = makeCoordinators(["entry-1", "entry-2", "entry-3"]);
  const granted: PendingCopyGrant[] = [];
  coordinators.forEach((coordinator, i) => {
    const grant = coordinator.request(makeRequest(i + 1));
    void grant.target.then(() => granted.push(grant));
  });
  await settle();
  assert.equal(granted.length, 1);
  granted[0]!.release();
  await settle();
  assert.equal(granted.length, 2);
  granted[1]!.release();
  await settle();
  assert.equal(granted.length, 3);
});

// Guards against a gateway that waits for a grant of a coordinator that is gone.
test("a request ends without a target when its coordinator is lost", async () => {
  const { links, networks, coordinators } = makeCoordinators(["entry-1", "entry-2", "entry-3"]);
  const coordinatorName = networks[0]!.coordinatorOf(SCRIBE);
  const requesting = networks.findIndex((n) => n.name !== coordinatorName);
  // The engine's link is in use by a copy of the coordinator's own run.
  const coordinating = networks.findIndex((n) => n.name === coordinatorName);
  void coordinators[coordinating]!.request(makeRequest(1));
  const grant = coordinators[requesting]!.request(makeRequest(2));
  await settle();
  links.cutOff(coordinatorName);
  assert.equal(await grant.target, null);
});

// Guards against waiting for a grant until the engine is gone.
test("a request ends without a target when no grant arrives in time", async () => {
  const { clock, coordinators, networks } = makeCoordinators(["entry-1", "entry-2"]);
  const coordinating = networks.findIndex((n) => n.name === n.coordinatorOf(SCRIBE));
  void coordinators[coordinating]!.request(makeRequest(1));
  const grant = coordinators[1 - coordinating]!.request(makeRequest(2));
  await settle();
  clock.advance(3_000);
  assert.equal(await grant.target, null);
});

test("each grant is logged with its source, target and tokens", async () => {
  const { coordinators, log } = makeCoordinators(["entry-1"]);
  assert.equal(await coordinators[0]!.request(makeRequest(1)).target, "scribe-2");
  const { fields } = log.events.find((e) => e.event === "copy_granted")!;
  assert.equal(fields.source, "scribe-1");
  assert.equal(fields.target, "scribe-2");
  assert.equal(fields.tokens, 3_100);
});

// Guards against a grant for a released request, which would reserve links that nobody uses.
test("a request that is released before its grant does not block later ones", async () => {
  const { coordinators } = makeCoordinators(["entry-1"]);
  const coordinator = coordinators[0]!;
  const first = coordinator.request(makeRequest(1));
  const second = coordinator.request({ ...makeRequest(2), isAhead: true });
  const third = coordinator.request(makeRequest(3));
  second.release();
  assert.equal(await second.target, null);
  first.release();
  assert.equal(await third.target, "scribe-2");
});

// Guards against waiting for a stalled coordinator, and against links that stay reserved by its late grant.
test("a stalled coordinator is passed over, and its late grant is returned", async () => {
  const { clock, links, networks, coordinators, log } = makeCoordinators([
    "entry-1",
    "entry-2",
    "entry-3",
  ]);
  const coordinatorName = networks[0]!.coordinatorOf(SCRIBE);
  const requesting = networks.findIndex((n) => n.name !== coordinatorName);
  links.stalled.add(coordinatorName);
  const grant = coordinators[requesting]!.request(makeRequest(1));
  clock.advance(200);
  assert.equal(await grant.target, "scribe-2");
  assert.equal(log.events.filter((e) => e.event === "copy_keeper_silent").length, 1);
  grant.release();
  // The next request does not wait for the stalled coordinator again.
  const next = coordinators[requesting]!.request(makeRequest(2));
  assert.equal(await next.target, "scribe-2");
  networks[requesting]!.sent.length = 0;
  networks[requesting]!.receive(coordinatorName, {
    kind: "copy_grant",
    key: 1,
    target: endpointId("scribe-2"),
  });
  assert.deepEqual(networks[requesting]!.sent, [{ kind: "copy_done", key: 1 }]);
});

// Guards against a coordinator on a host that is too slow for the requests of all gateways.
test("a gateway on a weak host is not chosen as coordinator while stronger ones are linked", () => {
  const links = new MemoryLinks();
  const strong = ["entry-1", "entry-2", "entry-3"].map((name) => links.join(name));
  const weak = ["weak-1", "weak-2", "weak-3"].map((name) =>
    links.join(name, { processorShare: 0.2 })
  );
  for (let i = 0; i < 50; i++) {
    const coordinators = [...strong, ...weak].map((n) => n.coordinatorOf(`duty-${i}`));
    assert.equal(new Set(coordinators).size, 1, "all choose the same coordinator");
    assert.match(coordinators[0]!, /^entry/);
  }
  for (const { name } of strong) links.cutOff(name);
  assert.match(weak[0]!.coordinatorOf("duty-1"), /^weak/);
});
