import assert from "node:assert/strict";
import { test } from "node:test";
import { endpointId, ManualClock, routeId } from "@wisteriapick/core";
import { LengthEstimator } from "@wisteriapick/policy";
import { shareOccupancy } from "../src/peers/occupancy_share.ts";
import { RunRegistry } from "../src/relay/run_registry.ts";
import type { StreamRun } from "../src/relay/stream_run.ts";
import { MemoryLinks } from "./memory_peers.ts";

const ENGINE = endpointId("scribe-1");

function makeRun(): StreamRun {
  const req = { route: { id: routeId("drafts") } };
  return { req, promptTokens: 100, maxTokens: 50, producedTokens: 0 } as unknown as StreamRun;
}

function makeGateway(name: string, links: MemoryLinks, clock: ManualClock) {
  const registry = new RunRegistry({ lengths: new LengthEstimator(), tokensPerMs: () => 0.1 });
  const network = links.join(name);
  shareOccupancy(registry, network, clock);
  return { registry, network };
}

// Guards against a queue of outdated changes to a peer whose link is slow.
test("a congested peer gets the present occupancy once there is room", () => {
  const links = new MemoryLinks();
  const clock = new ManualClock();
  const sender = makeGateway("entry-1", links, clock);
  const receiver = makeGateway("entry-2", links, clock);
  const runningAt = () => receiver.registry.load(ENGINE, clock.now()).running;
  const [first, second] = [makeRun(), makeRun()];
  sender.registry.place(first, ENGINE, clock.now(), true);
  assert.equal(runningAt(), 1);
  links.congested.add("entry-2");
  const sent = sender.network.sent.length;
  sender.registry.place(second, ENGINE, clock.now(), true);
  sender.registry.remove(first);
  for (let i = 0; i < 20; i++) {
    const run = makeRun();
    sender.registry.place(run, ENGINE, clock.now(), true);
    sender.registry.remove(run);
  }
  assert.equal(sender.network.sent.length, sent);
  links.congested.delete("entry-2");
  sender.network.notifyRoom("entry-2");
  assert.equal(sender.network.sent.length, sent + 1);
  assert.equal(runningAt(), 1);
  sender.registry.remove(second);
  assert.equal(runningAt(), 0);
});
