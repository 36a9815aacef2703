import assert from "node:assert/strict";
import { test } from "node:test";
import { endpointId, ManualClock, routeId } from "@wisteriapick/core";
import type { CopyTarget } from "@wisteriapick/policy";
import { CopyCoordinator, type PendingCopyGrant } from "../src/peers/copy_coordinator.ts";
import { MemoryLog, SCRIBE, settle } from "./fixtures.ts";
import { MemoryLinks } from "./memory_peers.ts";

const TARGETS: readonly CopyTarget[] = [{ endpoint: "scribe-2", peak: 0.4, copyMs: 200 }];

function makeKeepers(names: readonly string[]) {
  const clock = new ManualClock();
  const links = new MemoryLinks();
  const networks = names.map((name) => links.join(name));
  const log = new MemoryLog();
  const keepers = networks.map((network) =>
    new CopyCoordinator({ network, clock, log, targets: () => TARGETS })
  );
  return { clock, links, networks, keepers, log };
}

function makeRequest(part: number) {
  return {
    service: SCRIBE,
    source: endpointId("scribe-1"),
    route: routeId("drafts"),
    promptTokens: 3_000,
    producedTokens: 100 * part,
    maxTokens: 2_000,
    refused: [],
    heldBy: null,
    heldTokens: 0,
    isAhead: false,
  };
}

test("gateways that move runs off one engine get leave one after the other", async () => {
  const { keepers } = makeKeepers(["entry-1", "entry-2", "entry-3"]);
  const granted: PendingCopyGrant[] = [];
  keepers.forEach((keeper, i) => {
    const leave = keeper.request(makeRequest(i + 1));
    void leave.target.then(() => granted.push(leave));
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

test("a gateway whose keeper is lost copies without leave", async () => {
  const { links, networks, keepers } = makeKeepers(["entry-1", "entry-2", "entry-3"]);
  const keeperName = networks[0]!.coordinatorOf(SCRIBE);
  const asking = networks.findIndex((n) => n.name !== keeperName);
  // The keeper's link is taken by another run of its own.
  const keeping = networks.findIndex((n) => n.name === keeperName);
  void keepers[keeping]!.request(makeRequest(1));
  const answer = keepers[asking]!.request(makeRequest(2));
  await settle();
  links.cutOff(keeperName);
  assert.equal(await answer.target, null);
});

test("leave that does not come in time is not waited for", async () => {
  const { clock, keepers, networks } = makeKeepers(["entry-1", "entry-2"]);
  const keeping = networks.findIndex((n) => n.name === n.coordinatorOf(SCRIBE));
  void keepers[keeping]!.request(makeRequest(1));
  const answer = keepers[1 - keeping]!.request(makeRequest(2));
  await settle();
  clock.advance(3_000);
  assert.equal(await answer.target, null);
});

test("each leave is logged with what decided it", async () => {
  const { keepers, log } = makeKeepers(["entry-1"]);
  assert.equal(await keepers[0]!.request(makeRequest(1)).target, "scribe-2");
  const { fields } = log.events.find((e) => e.event === "copy_granted")!;
  assert.equal(fields.source, "scribe-1");
  assert.equal(fields.target, "scribe-2");
  assert.equal(fields.tokens, 3_100);
});

test("leave that is given up before it comes is not kept for the one who gave it up", async () => {
  const { keepers } = makeKeepers(["entry-1"]);
  const keeper = keepers[0]!;
  const first = keeper.request(makeRequest(1));
  const second = keeper.request({ ...makeRequest(2), isAhead: true });
  const third = keeper.request(makeRequest(3));
  second.release();
  assert.equal(await second.target, null);
  first.release();
  assert.equal(await third.target, "scribe-2");
});

test("a keeper that stands still is passed over, and what it grants later is given back", async () => {
  const { clock, links, networks, keepers, log } = makeKeepers(["entry-1", "entry-2", "entry-3"]);
  const keeperName = networks[0]!.coordinatorOf(SCRIBE);
  const asking = networks.findIndex((n) => n.name !== keeperName);
  links.stalled.add(keeperName);
  const leave = keepers[asking]!.request(makeRequest(1));
  clock.advance(200);
  assert.equal(await leave.target, "scribe-2");
  assert.equal(log.events.filter((e) => e.event === "copy_keeper_silent").length, 1);
  leave.release();
  // The next request does not wait for it again.
  const next = keepers[asking]!.request(makeRequest(2));
  assert.equal(await next.target, "scribe-2");
  networks[asking]!.sent.length = 0;
  networks[asking]!.receive(keeperName, {
    kind: "copy_grant",
    key: 1,
    target: endpointId("scribe-2"),
  });
  assert.deepEqual(networks[asking]!.sent, [{ kind: "copy_done", key: 1 }]);
});

test("a weak host keeps no order while stronger ones are there", () => {
  const links = new MemoryLinks();
  const strong = ["entry-1", "entry-2", "entry-3"].map((name) => links.join(name));
  const weak = ["weak-1", "weak-2", "weak-3"].map((name) =>
    links.join(name, { processorShare: 0.2 })
  );
  for (let i = 0; i < 50; i++) {
    const keepers = [...strong, ...weak].map((n) => n.coordinatorOf(`duty-${i}`));
    assert.equal(new Set(keepers).size, 1, "all name the same");
    assert.match(keepers[0]!, /^entry/);
  }
  for (const { name } of strong) links.cutOff(name);
  assert.match(weak[0]!.coordinatorOf("duty-1"), /^weak/);
});
