import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, Rng } from "@wisteriapick/core";
import { GatewayMetrics } from "../src/observe/metrics.ts";
import type { InboundRequest } from "../src/relay/inbound.ts";
import { CrashTracker } from "../src/relay/crash_tracker.ts";
import { makeEndpoint, makeRoute, MemoryLog } from "./fixtures.ts";
import { MemoryLinks } from "./memory_peers.ts";
import { advanceLinks, ThinLinks } from "./thin_links.ts";

const THIN_MBPS = 7;
let nextRequest = 1;

/** A request of which no other has the same content, with the given shared segments. */
function makeRequest(...shared: string[]): InboundRequest {
  const requestId = `r-${nextRequest++}`;
  return {
    requestId,
    method: "POST",
    target: "/drafts/",
    hostname: "shop.example",
    headers: [],
    deadlineMs: 39_000,
    apiKey: "k1",
    generation: {
      model: "m",
      promptTokens: 3_000,
      maxOutputTokens: 900,
      lengthHintTokens: null,
      promptSegments: [...shared, `own${requestId}`].map((id) => ({ id, tokens: 20 })),
    },
    lastEventId: null,
    route: makeRoute(),
    account: null,
    body: Buffer.from(requestId),
    arrivedAtMs: 0,
    dueAtMs: 39_000,
  };
}

function makeGateway(name: string, links: MemoryLinks, clock: ManualClock) {
  const log = new MemoryLog();
  const rng = new Rng(name.length * 31 + Number(name.split("-")[1]));
  const tracker = new CrashTracker({ clock, rng, log, metrics: new GatewayMetrics() });
  const network = links.join(name, { linkMbps: THIN_MBPS });
  const leave = tracker.share(network);
  return { name, tracker, network, log, leave };
}

function makeScene(count: number, links: MemoryLinks = new MemoryLinks()) {
  const clock = new ManualClock();
  const gateways = Array.from({ length: count }, (_, i) => makeGateway(`entry-${i}`, links, clock));
  let nextCrash = 1;
  /** An engine of one gateway crashes as it begins to respond to a request with the segments. */
  const crash = (gateway: number, ...segments: string[]) => {
    const endpoint = makeEndpoint(`e-${nextCrash++}`);
    const req = makeRequest(...segments);
    gateways[gateway]!.tracker.recordSent(req);
    gateways[gateway]!.tracker.recordCrash(req, endpoint, { hasBegun: true });
  };
  const admissions = (...segments: string[]) =>
    gateways.map(({ tracker }) => tracker.admission(makeRequest(...segments)).type);
  return { clock, links, gateways, crash, admissions };
}

test("all gateways refuse a segment after two crashes that two of them saw", () => {
  const { clock, crash, admissions } = makeScene(30);
  crash(3, "a0", "dd");
  clock.advance(1_000);
  crash(17, "b0", "dd");
  clock.advance(1_000);
  assert.deepEqual(new Set(admissions("c0", "dd")), new Set(["refused"]));
  assert.deepEqual(new Set(admissions("c0")), new Set(["send"]));
});

// Guards against sound requests that are refused because one gateway has not seen that their segment is harmless.
test("what one gateway knows to be harmless is cleared at all", () => {
  const { clock, gateways, crash, admissions } = makeScene(30);
  gateways[9]!.tracker.recordHarmless(makeRequest("a0"), 0);
  crash(3, "a0", "dd");
  clock.advance(500);
  assert.deepEqual(new Set(admissions("a0")), new Set(["send"]));
  gateways[21]!.tracker.recordHarmless(makeRequest("dd"), clock.now());
  clock.advance(500);
  for (const { log } of gateways) assert.equal(log.count("trait_cleared") >= 1, true);
  assert.deepEqual(new Set(admissions("a0", "dd")), new Set(["send"]));
});

test("while one gateway tries a suspected segment, requests with it wait at the others", () => {
  const { clock, gateways, crash, admissions } = makeScene(4);
  crash(0, "dd");
  clock.advance(100);
  const trial = makeRequest("dd");
  assert.deepEqual(gateways[1]!.tracker.admission(trial), { type: "send", isTrial: true });
  gateways[1]!.tracker.recordSent(trial);
  clock.advance(100);
  assert.deepEqual(new Set(admissions("dd")), new Set(["wait"]));
  assert.equal(gateways[1]!.tracker.admission(trial).type, "send");
  gateways[1]!.tracker.recordHarmless(trial, clock.now());
  clock.advance(100);
  assert.deepEqual(new Set(admissions("dd")), new Set(["send"]));
});

test("a trial that ends without a verdict makes room for the next one", () => {
  const { clock, gateways, crash } = makeScene(1);
  crash(0, "dd");
  const { tracker } = gateways[0]!;
  const trial = makeRequest("dd");
  tracker.recordSent(trial);
  assert.equal(tracker.admission(makeRequest("dd")).type, "wait");
  tracker.recordEnded(trial);
  clock.advance(1);
  assert.equal(tracker.admission(makeRequest("dd")).type, "send");
});

// Guards against a gateway that sends what all others refuse, as it was cut off or not yet running at the verdict.
test("a gateway that starts or returns after a verdict knows it within seconds", () => {
  const { clock, links, gateways, crash } = makeScene(12);
  crash(0, "dd");
  clock.advance(200);
  crash(1, "dd");
  const late = makeGateway("entry-99", links, clock);
  clock.advance(10_000);
  assert.equal(late.tracker.admission(makeRequest("dd")).type, "refused");
  for (const { tracker } of gateways) {
    assert.equal(tracker.admission(makeRequest("dd")).type, "refused");
  }
});

// Guards against a cost of one crash on the smallest link that grows with the number of gateways.
test("the bytes of a crash on a link do not grow with the number of gateways", async () => {
  const busiest: number[] = [];
  for (const count of [64, 256]) {
    const links = new ThinLinks();
    for (let i = 0; i < count; i++) links.addHost(`entry-${i}`, THIN_MBPS);
    const { clock, gateways, crash, admissions } = makeScene(count, links);
    const shared = ["a0", "b0"];
    for (const { tracker } of gateways) tracker.recordHarmless(makeRequest("a0"), clock.now());
    for (let i = 0; i < 3; i++) {
      crash(i, ...shared, "dd");
      await advanceLinks(clock, links, 500, () => Promise.resolve());
    }
    assert.deepEqual(new Set(admissions("c0", "dd", "b0")), new Set(["refused"]));
    busiest.push(Math.max(...gateways.map(({ name }) => links.traffic(name).sentBytes)));
  }
  const [few, many] = busiest;
  assert.ok(many! <= 1.5 * few!, `${few} bytes with 64 gateways, ${many} bytes with 256`);
});

// Guards against evidence of hundreds of gateways for the same segment that fills thin links.
test("of many gateways that can clear a segment few announce it", () => {
  const { clock, gateways, crash } = makeScene(300);
  for (const { tracker } of gateways.slice(1)) tracker.recordHarmless(makeRequest("a0"), 0);
  crash(0, "a0");
  clock.advance(2_000);
  const announcing = gateways.filter(({ name, network }) =>
    network.sent.some((msg) => msg.kind === "crash_evidence" && msg.origin === name)
  );
  assert.ok(announcing.length <= 6, `${announcing.length} gateways announce evidence`);
});

// Guards against messages and tables that grow with the crashes of a whole data centre.
test("the messages of a gateway in a second are bounded", () => {
  const { clock, gateways, crash } = makeScene(40);
  for (let i = 0; i < 400; i++) crash(0, `n${i}`);
  clock.advance(1_000);
  const { sent } = gateways[0]!.network;
  assert.ok(sent.length <= 110 * 8, `${sent.length} messages`);
  assert.equal(gateways[0]!.log.count("broadcast_dropped") > 0, true);
});

// Guards against suspecting what merely waited where an endpoint crashed on another request.
test("a request without a response is not reported beside one whose response had begun", () => {
  const { clock, gateways } = makeScene(3);
  const endpoint = makeEndpoint("e-1");
  gateways[0]!.tracker.recordCrash(makeRequest("a0"), endpoint, { hasBegun: false });
  gateways[1]!.tracker.recordCrash(makeRequest("dd"), endpoint, { hasBegun: true });
  clock.advance(1_000);
  for (const { log } of gateways) {
    const suspected = log.events.filter(({ event }) => event === "trait_suspected");
    assert.deepEqual(suspected.map(({ fields }) => fields.trait), ["segment:dd"]);
  }
});

// Guards against a harmful request that comes again at any gateway and is never recorded, as sound requests at the same
// engines had just begun their responses (BUDGET).
test("a request that crashes engines before they respond is refused beside sound traffic", () => {
  const { clock, gateways } = makeScene(4);
  const harmful = makeRequest("a0");
  for (const i of [0, 1, 2]) {
    const { tracker } = gateways[i]!;
    const endpoint = makeEndpoint(`crashed-${i}`);
    for (let n = 0; n < 6; n++) {
      const sound = makeRequest("a0");
      tracker.recordCrash(sound, endpoint, { hasBegun: n < 2 });
      if (n < 2) clock.setTimer(500, () => tracker.recordHarmless(sound, clock.now()));
    }
    tracker.recordCrash({ ...harmful, requestId: `copy-${i}` }, endpoint, { hasBegun: false });
    clock.advance(1_000);
  }
  for (const { tracker } of gateways) {
    assert.equal(tracker.admission({ ...harmful, requestId: "copy-4" }).type, "refused");
    assert.equal(tracker.admission(makeRequest("a0")).type, "send");
  }
});
