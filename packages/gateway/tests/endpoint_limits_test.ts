import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type EndpointId, ManualClock, Rng } from "@wisteriapick/core";
import { GatewayMetrics } from "../src/observe/metrics.ts";
import { EndpointLimits } from "../src/relay/endpoint_limits.ts";
import type { EndpointChange } from "../src/state/fleet.ts";
import { makeEndpoint, MemoryLog } from "./fixtures.ts";
import { MemoryLinks } from "./memory_peers.ts";

const WINDOW_MS = 4_000;
/** Time after the first naming of a limit from which on it holds, in milliseconds. */
const CONTACT_MS = 3_000;
const STEP_MS = 5;
/** Largest number of permits in one ask. */
const MAX_ASKED = 8;
/** Time for which a caller waits for a permit, in milliseconds. */
const WAIT_MS = 50;

interface Gateway {
  readonly name: string;
  readonly limits: EndpointLimits;
  readonly log: MemoryLog;
  readonly change: (change: EndpointChange) => void;
  readonly sentAtMs: number[];
  isRunning: boolean;
  /** Time until which a caller waits for a permit. */
  waitsUntilMs: number;
}

/** An endpoint that names a limit, and gateways whose requests it answers after a while. */
function makeScene(count: number, requestsPerSecond: number) {
  const clock = new ManualClock();
  const links = new MemoryLinks();
  const endpoint = { named: requestsPerSecond as number | null, record: makeEndpoint("e-1") };
  const gateways: Gateway[] = [];
  const add = (name: string) => {
    const log = new MemoryLog();
    let change: (change: EndpointChange) => void = () => {};
    const limits = new EndpointLimits({
      clock,
      log,
      metrics: new GatewayMetrics(),
      gatewayCount: () => links.members.size,
      fleet: {
        registerEndpointListener: (fn) => {
          change = fn;
          return () => {};
        },
      },
    });
    limits.share(links.join(name));
    const gateway: Gateway = {
      name,
      limits,
      log,
      change: (c) => change(c),
      sentAtMs: [],
      isRunning: true,
      waitsUntilMs: -Infinity,
    };
    limits.registerListener(0, () => {
      if (gateway.isRunning && clock.now() <= gateway.waitsUntilMs) send(gateway);
    });
    gateways.push(gateway);
  };
  for (let i = 0; i < count; i++) add(`entry-${i}`);
  const { id } = endpoint.record;
  /** Sends a request if the gateway may, and answers it after 20 ms. */
  const send = (gateway: Gateway) => {
    const sentAtMs = clock.now();
    if (!gateway.limits.mayTake(id)) {
      gateway.waitsUntilMs = clock.now() + WAIT_MS;
      gateway.limits.request(id, { rank: 0, waitMs: WAIT_MS });
      if (!gateway.limits.mayTake(id)) return;
    }
    gateway.waitsUntilMs = -Infinity;
    gateway.limits.take(id);
    gateway.sentAtMs.push(sentAtMs);
    clock.setTimer(20, () => {
      const notice = { sentAtMs, requestsPerSecond: endpoint.named };
      gateway.limits.recordResponse(endpoint.record, notice);
    });
  };
  const rng = new Rng(count);
  /** Lets the given gateways have callers for a while. */
  const run = (ms: number, busy: readonly Gateway[], perStep: number) => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      clock.advance(STEP_MS);
      for (let i = 0; i < perStep; i++) {
        const gateway = busy[Math.floor(rng.next() * busy.length)]!;
        if (gateway.isRunning) send(gateway);
      }
    }
  };
  const sent = (fromMs = 0) =>
    gateways.flatMap(({ sentAtMs }) => sentAtMs).filter((t) => t >= fromMs).sort((a, b) => a - b);
  const mostInWindow = () => {
    const atMs = sent(CONTACT_MS);
    return Math.max(0, ...atMs.map((f) => atMs.filter((t) => t >= f && t < f + WINDOW_MS).length));
  };
  return { clock, links, endpoint, id, gateways, add, run, sent, mostInWindow };
}

function allowed(requestsPerSecond: number): number {
  return 1.5 * requestsPerSecond * WINDOW_MS / 1_000 + 5;
}

// Guards against a limit that gateways keep each for itself, from the smallest deployment to the design size.
test("an endpoint gets what it allows and not more, from 4 to 960 gateways", () => {
  for (const count of [4, 30, 240, 960]) {
    const { gateways, run, sent, mostInWindow } = makeScene(count, 3);
    run(14_000, gateways, 4);
    assert.ok(mostInWindow() <= allowed(3), `${mostInWindow()} in a window, ${count} gateways`);
    const used = sent(CONTACT_MS).length;
    assert.ok(used >= 0.7 * 3 * 11, `${used} of 33 requests are used with ${count} gateways`);
  }
});

// Guards against equal shares, which leave a gateway with most of the callers almost nothing.
test("one gateway with all the callers gets all that the endpoint allows", () => {
  const { gateways, run, sent, mostInWindow } = makeScene(30, 3);
  run(200, gateways, 4);
  run(12_800, gateways.slice(7, 8), 1);
  assert.ok(mostInWindow() <= allowed(3));
  assert.ok(sent(CONTACT_MS).length >= 0.85 * 30, `${sent(CONTACT_MS).length} requests`);
});

// Guards against permits that are issued twice while the issuer changes, and against an issuer that is gone for good.
test("the limit holds while gateways die, are cut off and join", () => {
  for (const count of [4, 30]) {
    const { links, gateways, add, run, sent, mostInWindow, clock } = makeScene(count, 3);
    run(5_000, gateways, 4);
    for (let i = 0; i < 4; i++) {
      const gone = gateways[i * Math.floor(count / 4)]!;
      if (i > 1) break;
      // The first one dies, the second one is only cut off and goes on.
      gone.isRunning = i === 1;
      links.cutOff(gone.name);
      run(2_500, gateways, 4);
      add(`entry-new-${i}`);
      run(1_500, gateways, 4);
    }
    run(4_000, gateways, 4);
    const busy = sent(CONTACT_MS).length;
    assert.ok(mostInWindow() <= allowed(3), `${mostInWindow()} in a window of ${count} gateways`);
    const seconds = (clock.now() - CONTACT_MS) / 1_000;
    assert.ok(busy >= 0.6 * 3 * seconds, `${busy} requests in ${seconds} s with ${count} gateways`);
  }
});

// Guards against a stalled issuer, whose link stays open, and for which everyone would wait.
test("while the issuer is silent, gateways use equal shares", () => {
  const { links, gateways, run, sent, clock, id, mostInWindow } = makeScene(4, 8);
  run(4_000, gateways, 4);
  const issuer = links.members.get("entry-0")!.coordinatorOf(`permits/${id}`);
  links.stalled.add(issuer);
  const others = gateways.filter(({ name }) => name !== issuer);
  run(500, others, 4);
  const before = clock.now();
  run(2_000, others, 4);
  assert.ok(sent(before).length >= 0.5 * 0.75 * 8 * 2, `${sent(before).length} requests`);
  assert.ok(mostInWindow() <= allowed(8));
});

test("a limit that is named no longer ends at all gateways, and a smaller one is in force at once", () => {
  const { endpoint, gateways, run, sent, clock, id } = makeScene(12, 20);
  run(4_000, gateways, 4);
  endpoint.named = 1;
  run(500, gateways, 4);
  const before = clock.now();
  run(WINDOW_MS, gateways, 4);
  assert.ok(sent(before).length <= allowed(1), `${sent(before).length} requests at one a second`);
  endpoint.named = null;
  run(3_000, gateways, 4);
  for (const { limits } of gateways) assert.equal(limits.mayTake(id), true);
});

// Guards against messages in the number of gateways for each request or each change of the limit.
test("the messages for a limited endpoint do not grow with the number of gateways", () => {
  const [few, many] = [60, 240].map((count) => {
    const { gateways, run, links } = makeScene(count, 3);
    run(6_000, gateways, 4);
    return Math.max(...[...links.members.values()].map(({ sent }) => sent.length));
  });
  assert.ok(many! <= 1.5 * few!, `${few} messages with 60 gateways, ${many} with 240`);
});

test("a waiting request is told of its permit, and one that cannot get it in time is not kept", async () => {
  const { clock, gateways, run, id } = makeScene(1, 4);
  run(1_000, gateways, 1);
  const [{ limits }] = gateways as [Gateway];
  const waiting = limits.acquire(id as EndpointId, { rank: 0, waitMs: 400 });
  const hopeless = limits.acquire(id as EndpointId, { rank: 1, waitMs: 20 });
  for (let i = 0; i < 100; i++) {
    clock.advance(STEP_MS);
    await Promise.resolve();
  }
  assert.equal(await waiting, true);
  limits.take(id);
  assert.equal(await hopeless, false);
});

test("the limit of an endpoint that started again is forgotten", () => {
  const { gateways, run, id, endpoint } = makeScene(2, 1);
  run(1_000, gateways, 1);
  const [{ limits, change }] = gateways as [Gateway];
  assert.equal(limits.mayTake(id), false);
  const after = {
    record: endpoint.record,
    phase: "ready" as const,
    phaseSinceMs: 0,
    coldUntilMs: 0,
    revision: 2,
    isRegistered: true,
    era: 0,
    hasOwnNotice: false,
  };
  change({ id, before: null, after, restarted: true });
  assert.equal(limits.mayTake(id), true);
});

/** Events of a generated run: each one happens, and then callers come for a while. */
const events = fc.array(
  fc.record({
    type: fc.constantFrom("die", "cut", "join", "stall", "resume", "lower", "raise", "none"),
    gateway: fc.nat({ max: 1_000 }),
    forMs: fc.integer({ min: 50, max: 3_000 }),
    busy: fc.integer({ min: 1, max: 12 }),
  }),
  { minLength: 1, maxLength: 7 },
);

// Guards against combinations of deaths, cuts, stalls and changes of the limit that let gateways exceed it together.
test("generated deaths, cuts, stalls and changes never let gateways exceed the limit", () => {
  fc.assert(
    fc.property(fc.integer({ min: 2, max: 16 }), events, (count, plan) => {
      const { links, endpoint, gateways, add, run, clock } = makeScene(count, 4);
      run(CONTACT_MS, gateways, 2);
      let cuts = 0;
      /** The limits and the times from which they are named, for windows in which they change. */
      const named = [{ fromMs: 0, perSecond: 4 }];
      for (const { type, gateway, forMs, busy } of plan) {
        const chosen = gateways[gateway % gateways.length]!;
        if (type === "die" && gateways.filter((g) => g.isRunning).length > 1) {
          chosen.isRunning = false;
          links.cutOff(chosen.name);
        } else if (type === "cut" && cuts === 0) {
          // One cut gateway uses its share of the limit; the rule excuses cut machines altogether.
          cuts++;
          links.cutOff(chosen.name);
        } else if (type === "join") add(`entry-new-${gateways.length}`);
        else if (type === "stall") links.stalled.add(chosen.name);
        else if (type === "resume") links.stalled.clear();
        else if (type === "lower" || type === "raise") {
          endpoint.named = type === "lower" ? 2 : 4;
          named.push({ fromMs: clock.now(), perSecond: endpoint.named });
        }
        const running = gateways.filter((g) => g.isRunning);
        run(forMs, running.slice(0, busy), 2);
      }
      const atMs = gateways.flatMap((g) => g.sentAtMs).filter((t) => t > CONTACT_MS).sort((a, b) =>
        a - b
      );
      for (const from of atMs) {
        const inWindow = atMs.filter((t) => t >= from && t < from + WINDOW_MS).length;
        const perSecond = Math.max(
          ...named
            .filter(({ fromMs }, i) =>
              fromMs < from + WINDOW_MS &&
              (named[i + 1]?.fromMs ?? Infinity) + CONTACT_MS > from
            )
            .map((n) => n.perSecond),
        );
        assert.ok(inWindow <= allowed(perSecond), `${inWindow} requests at ${perSecond} a second`);
      }
    }),
    { seed: 21, numRuns: 60 },
  );
});

// Guards against an answer with so many permits that memory ends while they are recorded, or that the endpoint is overrun.
test("no more permits are taken from an answer than can have been asked for", () => {
  const { gateways, links, id, endpoint } = makeScene(3, 3);
  const issuer = links.members.get("entry-0")!.coordinatorOf(`permits/${id}`);
  const asker = gateways.find(({ name }) => name !== issuer)!;
  asker.limits.recordResponse(endpoint.record, { sentAtMs: 0, requestsPerSecond: 3 });
  links.stalled.add(issuer);
  asker.limits.request(id, { rank: 0, waitMs: WAIT_MS });
  const grant = { kind: "permit_grant", endpoint: id, count: 100_000, retryInMs: 0 } as const;
  links.members.get(asker.name)!.receive(issuer, grant);
  let taken = 0;
  for (; asker.limits.mayTake(id); taken++) asker.limits.take(id);
  assert.equal(taken, MAX_ASKED);
});

// Guards against an endpoint for which no permit is ever asked again after an ask that failed.
test("an ask that fails is not taken for an open one", () => {
  const clock = new ManualClock();
  const limits = new EndpointLimits({
    clock,
    log: new MemoryLog(),
    metrics: new GatewayMetrics(),
    gatewayCount: () => 1,
    fleet: { registerEndpointListener: () => () => {} },
  });
  const network = new MemoryLinks().join("a");
  network.coordinatorOf = () => {
    throw new Error("odd");
  };
  limits.share(network);
  limits.recordResponse(makeEndpoint("e-1"), { sentAtMs: 0, requestsPerSecond: 10 });
  const id = "e-1" as EndpointId;
  assert.throws(() => limits.request(id, { rank: 0, waitMs: WAIT_MS }), /odd/);
  assert.equal(limits.isAsking(id), false);
  assert.equal(limits.mayAsk(id), true);
});
