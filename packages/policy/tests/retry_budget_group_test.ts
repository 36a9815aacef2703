import assert from "node:assert/strict";
import { test } from "node:test";
import { Rng } from "@wisteriapick/core";
import fc from "fast-check";
import { GatewayCensus, type RetryBudgetLimits, RetryBudgets } from "../src/mod.ts";

const LIMITS: RetryBudgetLimits = { ratio: 0.2, extra: 52, windowMs: 10_000 };
const STEP_MS = 50;
/** Interval at which gateways that are linked see each other. */
const SIGHT_MS = 1_000;

/** What happens to the gateways of a deployment, and the load that they get. */
interface Load {
  readonly seed: number;
  readonly lengthMs: number;
  /** When each gateway first starts. */
  readonly starts: readonly number[];
  /** Restarts of a gateway, which then knows nothing. */
  readonly restarts: readonly { readonly gateway: number; readonly atMs: number }[];
  /** Gateways with a number below `count` are cut off from the others, and linked with each other unless `alone`. */
  readonly cuts: readonly {
    readonly count: number;
    readonly fromMs: number;
    readonly toMs: number;
    readonly alone: boolean;
  }[];
  /** Requests a second for each service; the sets are used in turn, each for `phaseMs`. */
  readonly phases: readonly (readonly number[])[];
  readonly phaseMs: number;
  /** How often each request for a service would be repeated. */
  readonly repeats: readonly number[];
}

interface Gateway {
  readonly budgets: RetryBudgets;
  readonly census: GatewayCensus;
}

interface Arrivals {
  readonly requests: number[];
  readonly repeats: number[];
}

/** Plays a load and returns the times of requests and repeats of each service. */
function play(load: Load): Arrivals[] {
  const rng = new Rng(load.seed);
  const services = load.phases[0]!.map((): Arrivals => ({ requests: [], repeats: [] }));
  const gateways: (Gateway | null)[] = load.starts.map(() => null);
  const start = (n: number, startedAtMs: number) => {
    gateways[n] = {
      budgets: new RetryBudgets({ ...LIMITS, startedAtMs }),
      census: new GatewayCensus(),
    };
  };
  const areLinked = (a: number, b: number, now: number) =>
    load.cuts.every(({ count, fromMs, toMs, alone }) =>
      now < fromMs || now >= toMs ||
      (a >= count && b >= count) || (a < count && b < count && !alone)
    );
  for (let now = 0; now < load.lengthMs; now += STEP_MS) {
    load.starts.forEach((atMs, n) => {
      if (atMs >= now && atMs < now + STEP_MS) start(n, now);
    });
    for (const { gateway, atMs } of load.restarts) {
      if (atMs >= now && atMs < now + STEP_MS && gateways[gateway] !== null) start(gateway, now);
    }
    const running = gateways.flatMap((gateway, n) => gateway === null ? [] : [{ gateway, n }]);
    if (now % SIGHT_MS === 0) {
      for (const a of running) {
        for (const b of running) {
          if (a.n !== b.n && areLinked(a.n, b.n, now)) a.gateway.census.recordSeen(`${b.n}`, now);
        }
      }
    }
    const rates = load.phases[Math.floor(now / load.phaseMs) % load.phases.length]!;
    rates.forEach((perSecond, s) => {
      let count = perSecond * STEP_MS / 1_000;
      count = Math.floor(count) + (rng.next() < count % 1 ? 1 : 0);
      for (let i = 0; i < count && running.length > 0; i++) {
        const { gateway } = running[Math.floor(rng.next() * running.length)]!;
        const budget = gateway.budgets.of(`${s}`, now);
        const others = gateway.census.hasSeenAny ? gateway.census.count(now) : null;
        const hasSeeds = load.starts.length > 1;
        const gatewayCount = others === null ? (hasSeeds ? null : 1) : others + 1;
        budget.recordRequest(now);
        services[s]!.requests.push(now);
        for (let r = 0; r < load.repeats[s]!; r++) {
          if (budget.take(now, gatewayCount)) services[s]!.repeats.push(now);
        }
      }
    });
  }
  return services;
}

/** The window with the most repeats beyond what is allowed there; negative if there is none. */
function worstExcess({ requests, repeats }: Arrivals): number {
  const { ratio, extra, windowMs } = LIMITS;
  const inWindow = (times: readonly number[], fromMs: number) =>
    times.filter((ms) => ms >= fromMs && ms < fromMs + windowMs).length;
  let worst = -Infinity;
  for (const fromMs of new Set(repeats)) {
    const windows = [fromMs, fromMs - windowMs / 2, fromMs - windowMs];
    const allowed = ratio * Math.max(...windows.map((ms) => inWindow(requests, ms))) + extra;
    worst = Math.max(worst, inWindow(repeats, fromMs) - allowed);
  }
  return worst;
}

const ORDINARY: Load = {
  seed: 23,
  lengthMs: 40_000,
  starts: Array.from({ length: 30 }, () => 0),
  restarts: [],
  cuts: [],
  phases: [[45, 135]],
  phaseMs: 40_000,
  repeats: [3, 3],
};

function assertWithin(load: Load): void {
  for (const arrivals of play(load)) {
    const excess = worstExcess(arrivals);
    assert.ok(excess <= 0, `${excess.toFixed(1)} more repeats than allowed`);
  }
}

// Guards against calls to one service that allow repeats at another: three quarters of the requests are calls.
test("each service has its own budget", () => {
  const load = { ...ORDINARY, repeats: [3, 0] };
  assertWithin(load);
  const [scribe] = play(load);
  const perWindow = scribe!.repeats.filter((ms) => ms >= 25_000 && ms < 35_000).length;
  assert.ok(perWindow >= 60, `${perWindow} of 142 repeats are used`);
});

// Guards against gateways that take more than their share of the fixed part as they know few others.
test("gateways that start together, or one at a time, stay within the budget", () => {
  assertWithin({ ...ORDINARY, lengthMs: 25_000 });
  assertWithin({ ...ORDINARY, starts: ORDINARY.starts.map((_, n) => 500 * n) });
});

test("gateways that are cut off from each other stay within the budget", () => {
  for (const alone of [true, false]) {
    const cuts = [{ count: 15, fromMs: 12_000, toMs: 90_000, alone }];
    assertWithin({ ...ORDINARY, lengthMs: 90_000, cuts });
  }
});

// Guards against a gateway that takes the whole fixed part as it has not heard from any other since its start.
test("gateways that start while they are cut off stay within the budget", () => {
  const cuts = [{ count: 15, fromMs: 12_000, toMs: 40_000, alone: true }];
  const restarts = ORDINARY.starts.slice(0, 15).map((_, gateway) => ({ gateway, atMs: 14_000 }));
  assertWithin({ ...ORDINARY, cuts, restarts });
});

// Guards against a process that starts with a whole share just after its last one has used it.
test("gateways that are restarted in turn or at once stay within the budget", () => {
  const inTurn = ORDINARY.starts.map((_, gateway) => ({ gateway, atMs: 15_000 + 300 * gateway }));
  const atOnce = ORDINARY.starts.map((_, gateway) => ({ gateway, atMs: 20_000 }));
  assertWithin({ ...ORDINARY, restarts: inTurn });
  assertWithin({ ...ORDINARY, restarts: atOnce });
  assertWithin({ ...ORDINARY, starts: [0], restarts: [{ gateway: 0, atMs: 20_000 }] });
});

test("a gateway without others uses its whole share of the fixed part after a window", () => {
  const budgets = new RetryBudgets({ ...LIMITS, startedAtMs: 0 });
  assert.equal(Math.floor(budgets.of("scribe", 0).remaining(0, 1)), 10);
  assert.equal(Math.floor(budgets.of("scribe", 10_000).remaining(10_000, 1)), 41);
});

test("services that are no longer requested are forgotten", () => {
  const budgets = new RetryBudgets(LIMITS);
  const first = budgets.of("scribe", 0);
  first.recordRequest(0);
  budgets.of("counter", 1_000);
  assert.equal(budgets.of("scribe", 1_000), first);
  budgets.of("other", 30_000);
  assert.notEqual(budgets.of("scribe", 30_000), first);
});

const arbitraryLoad: fc.Arbitrary<Load> = fc.integer({ min: 1, max: 12 }).chain((count) =>
  fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    lengthMs: fc.constant(45_000),
    starts: fc.array(fc.constantFrom(0, 0, 0, 4_000, 9_000), {
      minLength: count,
      maxLength: count,
    }),
    // One restart of a gateway in a window, as its last process may have used its share.
    restarts: fc.uniqueArray(
      fc.record({
        gateway: fc.integer({ min: 0, max: count - 1 }),
        atMs: fc.integer({ min: 10_000, max: 19_000 }),
      }),
      { selector: ({ gateway }) => gateway, maxLength: count },
    ),
    // A cut begins after the last start: gateways that start behind it cannot know the others.
    cuts: fc.array(
      fc.record({
        count: fc.integer({ min: 1, max: count }),
        fromMs: fc.integer({ min: 21_000, max: 30_000 }),
        toMs: fc.integer({ min: 31_000, max: 45_000 }),
        alone: fc.boolean(),
      }),
      { maxLength: 2 },
    ),
    phases: fc.array(
      fc.array(fc.constantFrom(0, 2, 10, 40, 150), { minLength: 2, maxLength: 2 }),
      { minLength: 1, maxLength: 5 },
    ),
    phaseMs: fc.constantFrom(700, 2_500, 5_000, 9_900),
    repeats: fc.array(fc.integer({ min: 0, max: 4 }), { minLength: 2, maxLength: 2 }),
  })
);

test("the repeats of all gateways never exceed what is allowed, whatever the load", () => {
  fc.assert(fc.property(arbitraryLoad, assertWithin), { seed: 20, numRuns: 60 });
});
