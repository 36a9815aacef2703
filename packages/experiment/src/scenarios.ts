/**
 * Scenarios of the experiment command that compare the product with the baselines.
 *
 * @module
 */
import {
  accountId,
  dataCentreId,
  type EndpointId,
  endpointId,
  Rng,
  type ServiceId,
  serviceId,
} from "@wisteriapick/core";
import type { EngineOptions } from "@wisteriapick/standins";
import type { AccountWeight, Disturbance, EndpointSpec, Job, Setup, WorkKind } from "./types.ts";
import { arrivalRate, drawJobs } from "./request_mix.ts";

/** A scenario and the function that builds its setup. */
export interface Scenario {
  readonly name: string;
  readonly summary: string;
  readonly build: (options: BuildOptions) => Setup;
}

/** Options of one run. */
export interface BuildOptions {
  readonly seed: number;
  /** Offered load relative to the engines' capacity. */
  readonly load?: number;
  /** Time over which requests arrive; tests shorten it. */
  readonly arrivalMs?: number;
}

const DEFAULT_LOAD = 0.9;
const ARRIVAL_MS = 300_000;
const ENTRIES = 3;

const SCRIBE = serviceId("scribe");
const SUITSCRIBE = serviceId("suitscribe");

/** Returns `count` accounts of equal share. */
function accounts(count: number, prefix = "account"): AccountWeight[] {
  return Array.from({ length: count }, (_, i) => ({
    account: accountId(`${prefix}-${i}`),
    share: 1,
  }));
}

function endpoints(
  service: ServiceId,
  count: number,
  engine: EngineOptions = {},
): EndpointSpec[] {
  return Array.from({ length: count }, (_, i) => ({
    endpoint: endpointId(`${service}-${i}`),
    service,
    dataCentre: dataCentreId("dc-0"),
    engine,
  }));
}

const DRAFTS: WorkKind = {
  kind: "draft",
  service: SCRIBE,
  share: 1,
  medianTokens: 250,
  sigma: 1.5,
  maxTokens: 24_000,
  promptTokens: 300,
  accounts: accounts(10),
};

interface ScenarioSpec {
  readonly name: string;
  readonly endpoints: readonly EndpointSpec[];
  readonly kinds: readonly WorkKind[];
  /** Endpoints whose capacity the offered load is relative to; all by default. */
  readonly counted?: readonly EndpointSpec[];
  readonly disturbances?: (rng: Rng, arrivalMs: number) => Disturbance[];
  readonly changeJobs?: (jobs: Job[], rng: Rng) => Job[];
  readonly load?: number;
  readonly setup?: Partial<Setup>;
}

function assemble(spec: ScenarioSpec, options: BuildOptions): Setup {
  const load = options.load ?? spec.load ?? DEFAULT_LOAD;
  const arrivalMs = options.arrivalMs ?? ARRIVAL_MS;
  const rng = new Rng(options.seed).fork(spec.name);
  const rates = new Map<ServiceId, number>();
  const counted = spec.counted ?? spec.endpoints;
  for (const service of new Set(spec.kinds.map((k) => k.service))) {
    const serviceEndpoints = counted.filter((e) => e.service === service);
    rates.set(
      service,
      arrivalRate(serviceEndpoints, spec.kinds.filter((k) => k.service === service), load),
    );
  }
  const drawn = drawJobs({
    kinds: spec.kinds,
    rates,
    arrivalMs,
    entries: ENTRIES,
    rng: rng.fork("jobs"),
  });
  return {
    scenario: spec.name,
    seed: options.seed,
    load,
    entries: ENTRIES,
    arrivalMs,
    endpoints: spec.endpoints,
    jobs: spec.changeJobs?.(drawn, rng.fork("changes")) ?? drawn,
    disturbances: spec.disturbances?.(rng.fork("disturbances"), arrivalMs) ?? [],
    reportIntervalMs: 500,
    reportLagMs: 250,
    restartMs: 5_000,
    resend: { ms: 20, times: 0 },
    ...spec.setup,
  };
}

function crowded(options: BuildOptions): Setup {
  return assemble(
    { name: "crowded", endpoints: endpoints(SCRIBE, 10), kinds: [DRAFTS] },
    options,
  );
}

function mixed(options: BuildOptions): Setup {
  const counter = accounts(4, "counter");
  const curators = accounts(4, "curator");
  const kinds: WorkKind[] = [
    { ...DRAFTS, share: 0.3, medianTokens: 700, sigma: 1.1, accounts: curators },
    {
      ...DRAFTS,
      kind: "stock_answer",
      share: 0.7,
      medianTokens: 30,
      sigma: 0.5,
      maxTokens: 200,
      accounts: counter,
    },
    {
      ...DRAFTS,
      kind: "report",
      service: SUITSCRIBE,
      share: 0.25,
      medianTokens: 900,
      sigma: 1,
      accounts: accounts(4, "shop"),
    },
    {
      ...DRAFTS,
      kind: "condition_tag",
      service: SUITSCRIBE,
      share: 0.75,
      medianTokens: 8,
      sigma: 0.6,
      maxTokens: 64,
      promptTokens: 200,
      // Shops send both tags and reports, so that the account does not tell which of them a request is.
      accounts: accounts(4, "shop"),
    },
  ];
  const fleet = [...endpoints(SCRIBE, 6), ...endpoints(SUITSCRIBE, 4)];
  return assemble({ name: "mixed", endpoints: fleet, kinds }, options);
}

function cold(options: BuildOptions): Setup {
  const arrivalMs = options.arrivalMs ?? ARRIVAL_MS;
  const warm = endpoints(SCRIBE, 6);
  const donated = [0, 1, 2, 3].map((i): EndpointSpec => ({
    endpoint: endpointId(`donated-${i}`),
    service: SCRIBE,
    dataCentre: dataCentreId("dc-0"),
    engine: {
      startsCold: true,
      kvTotalTokens: 24_000,
      maxBatch: 48,
      slowness: 1.2 + 0.1 * i,
      coldCapacity: 2 + (i % 3),
      coldDoubleTokens: 300 + 150 * i,
      coldFadeMs: 1_000,
    },
    joinsAtMs: arrivalMs * (0.05 + 0.07 * i),
  }));
  const disturbances = (rng: Rng): Disturbance[] => {
    const out: Disturbance[] = [];
    for (let i = 0; i < 6; i++) {
      const atMs = arrivalMs * (0.3 + 0.11 * i);
      out.push({ atMs, endpoint: rng.pick(warm).endpoint, type: "turn_cold" });
      out.push({
        atMs: atMs + 6_000,
        endpoint: rng.pick(i % 2 === 0 ? warm : donated).endpoint,
        type: "side_restart",
      });
    }
    return out;
  };
  return assemble({
    name: "cold",
    endpoints: [...warm.map(withColdFade), ...donated],
    counted: warm,
    kinds: [DRAFTS],
    disturbances,
  }, options);
}

function withColdFade(spec: EndpointSpec): EndpointSpec {
  return { ...spec, engine: { ...spec.engine, coldFadeMs: 1_000 } };
}

function largeAccounts(options: BuildOptions): Setup {
  const mix = [
    ...accounts(2, "large").map((a) => ({ ...a, share: 10 })),
    ...accounts(8, "small").map((a) => ({ ...a, share: 0.5 })),
  ];
  return assemble({
    name: "large_accounts",
    endpoints: endpoints(SCRIBE, 10),
    kinds: [{ ...DRAFTS, accounts: mix }],
    load: 1.2,
  }, options);
}

function prefixes(options: BuildOptions): Setup {
  const kind: WorkKind = {
    ...DRAFTS,
    medianTokens: 120,
    sigma: 1.2,
    sharedPrefixes: { count: 24, tokens: 1_800 },
  };
  const engine = { cacheEventLagMs: 2_000, cacheEventLoss: 0.2 };
  return assemble(
    { name: "prefixes", endpoints: endpoints(SCRIBE, 10, engine), kinds: [kind] },
    options,
  );
}

function stale(options: BuildOptions): Setup {
  const fleet = endpoints(SCRIBE, 10, { loadLagMs: 2_000 });
  return assemble({
    name: "stale",
    endpoints: fleet,
    kinds: [DRAFTS],
    disturbances: (rng, arrivalMs) =>
      [0.2, 0.4, 0.6].map((share) => ({
        atMs: arrivalMs * share,
        endpoint: rng.pick(fleet).endpoint,
        type: "reports_stop",
        ms: arrivalMs / 4,
      })),
    setup: { reportIntervalMs: 2_000, reportLagMs: 1_500 },
  }, options);
}

function poison(options: BuildOptions): Setup {
  return assemble({
    name: "poison",
    endpoints: endpoints(SCRIBE, 10),
    kinds: [DRAFTS],
    load: 0.6,
    changeJobs: (jobs) => {
      const at = Math.floor(jobs.length / 3);
      return jobs.map((job) => ({ ...job, streamed: false, poison: job.index === at }));
    },
    setup: { resend: { ms: 1_500, times: 6 } },
  }, options);
}

function failures(options: BuildOptions): Setup {
  const fleet = endpoints(SCRIBE, 10);
  const disturbances = (rng: Rng, arrivalMs: number): Disturbance[] => {
    const at = (share: number) => arrivalMs * share;
    const pick = (): EndpointId => rng.pick(fleet).endpoint;
    const victim = pick();
    const other = pick();
    return [
      { atMs: at(0.15), endpoint: victim, type: "kill" },
      { atMs: at(0.15) + 12_000, endpoint: victim, type: "kill" },
      { atMs: at(0.3), endpoint: pick(), type: "reclaim", ms: 2_000 },
      { atMs: at(0.45), endpoint: pick(), type: "link_stall", ms: 1_200, entry: 0 },
      { atMs: at(0.45) + 500, endpoint: other, type: "link_stall", ms: 30_000, entry: 1 },
      { atMs: at(0.45) + 900, endpoint: other, type: "kill" },
      { atMs: at(0.6), endpoint: pick(), type: "reclaim", ms: 500 },
      { atMs: at(0.6) + 200, endpoint: pick(), type: "kill" },
      { atMs: at(0.75), endpoint: pick(), type: "side_restart" },
      { atMs: at(0.75) + 100, endpoint: pick(), type: "link_stall", ms: 5_000, entry: 2 },
    ];
  };
  return assemble(
    {
      name: "failures",
      endpoints: fleet,
      kinds: [DRAFTS],
      load: 0.7,
      disturbances,
      changeJobs: halfStreamed,
    },
    options,
  );
}

// Half of the jobs are streamed: a stream that was cut has to fail, but a buffered response can run again.
function halfStreamed(jobs: Job[]): Job[] {
  return jobs.map((job) => ({ ...job, streamed: job.index % 2 === 0 }));
}

/** Every scenario. */
export const SCENARIOS: readonly Scenario[] = [
  { name: "crowded", summary: "heavy-tailed lengths; memory fills mid-draft", build: crowded },
  { name: "mixed", summary: "short tags and stock answers beside long drafts", build: mixed },
  { name: "cold", summary: "weak hosts join cold; warm ones turn cold", build: cold },
  { name: "large_accounts", summary: "two accounts send most of the load", build: largeAccounts },
  { name: "prefixes", summary: "shared prompt prefixes; cache events late", build: prefixes },
  { name: "stale", summary: "load reports lag by seconds; some stop", build: stale },
  { name: "poison", summary: "one request crashes each endpoint that runs it", build: poison },
  { name: "failures", summary: "engines die or are reclaimed; links stall", build: failures },
];
