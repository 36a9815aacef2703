/**
 * Draws the open-loop load and scales it to the capacity of the engines.
 *
 * @module
 */
import { generationId, ManualClock, Rng, type ServiceId } from "@wisteriapick/core";
import { EngineModel, type EngineOptions } from "@wisteriapick/standins";
import { randomExponential, randomLogNormal } from "d3-random";
import type { EndpointSpec, Job, WorkKind } from "./types.ts";

// The calibration keeps this many requests submitted to one engine, so that it stays saturated.
const BACKLOG_REQUESTS = 192;
const CALIBRATION_MS = 120_000;
const WARM_UP_MS = 30_000;
const CALIBRATION_SEED = 97;
const MEAN_LENGTH_SAMPLES = 40_000;

interface JobDraw {
  readonly kind: WorkKind;
  readonly outputTokens: number;
  readonly promptTokens: number;
}

/** Draws the kind and lengths of jobs of one service. */
class JobSource {
  readonly #rng: Rng;
  readonly #kinds: readonly WorkKind[];
  readonly #lengths: readonly (() => number)[];

  constructor(kinds: readonly WorkKind[], rng: Rng) {
    this.#rng = rng;
    this.#kinds = kinds;
    this.#lengths = kinds.map((k) =>
      randomLogNormal.source(rng.next)(Math.log(k.medianTokens), k.sigma)
    );
  }

  draw(): JobDraw {
    const i = pickShare(this.#kinds, this.#rng);
    const kind = this.#kinds[i]!;
    const length = Math.round(this.#lengths[i]!());
    return {
      kind,
      outputTokens: Math.max(1, Math.min(kind.maxTokens, length)),
      promptTokens: Math.max(8, Math.round(kind.promptTokens * (0.4 + 1.2 * this.#rng.next()))),
    };
  }
}

function pickShare(items: readonly { share: number }[], rng: Rng): number {
  const total = items.reduce((sum, x) => sum + x.share, 0);
  let u = rng.next() * total;
  for (let i = 0; i < items.length; i++) {
    u -= items[i]!.share;
    if (u < 0) return i;
  }
  return items.length - 1;
}

/** Measures the output tokens per second of one saturated, warm engine under this mix of work. */
export function engineCapacity(engine: EngineOptions, kinds: readonly WorkKind[]): number {
  const clock = new ManualClock();
  const rng = new Rng(CALIBRATION_SEED);
  const source = new JobSource(kinds, rng.fork("jobs"));
  let tokens = 0;
  let n = 0;
  const submitNext = () => {
    const { promptTokens, outputTokens, prefixes } = makeJob(source.draw(), 0, 1, rng);
    model.submit({ gen: generationId(`c${n++}`), promptTokens, outputTokens, prefixes });
  };
  const model: EngineModel = new EngineModel({
    clock,
    rng: rng.fork("engine"),
    options: { ...engine, startsCold: false },
    listener: {
      onStep: (step) => {
        if (clock.now() >= WARM_UP_MS) tokens += step.gens.length;
      },
      onFinish: () => submitNext(),
    },
  });
  for (let i = 0; i < BACKLOG_REQUESTS; i++) submitNext();
  clock.advance(CALIBRATION_MS);
  return tokens / ((CALIBRATION_MS - WARM_UP_MS) / 1_000);
}

/** Returns the requests per second that put `load`, a fraction of their capacity, on the endpoints of a service. */
export function arrivalRate(
  endpoints: readonly EndpointSpec[],
  kinds: readonly WorkKind[],
  load: number,
): number {
  const capacities = new Map<string, number>();
  let capacity = 0;
  for (const { engine } of endpoints) {
    const key = JSON.stringify({ ...engine, startsCold: false });
    const engineCapacityTokensPerS = capacities.get(key) ?? engineCapacity(engine, kinds);
    capacities.set(key, engineCapacityTokensPerS);
    capacity += engineCapacityTokensPerS;
  }
  const source = new JobSource(kinds, new Rng(CALIBRATION_SEED).fork("mean"));
  let sum = 0;
  for (let i = 0; i < MEAN_LENGTH_SAMPLES; i++) sum += source.draw().outputTokens;
  return load * capacity / (sum / MEAN_LENGTH_SAMPLES);
}

/** Draws the jobs of all services over `arrivalMs`, in order of arrival. Rates are requests per second. */
export function drawJobs(
  { kinds, rates, arrivalMs, entries, rng }: {
    kinds: readonly WorkKind[];
    rates: ReadonlyMap<ServiceId, number>;
    arrivalMs: number;
    entries: number;
    rng: Rng;
  },
): Job[] {
  const drawn: Omit<Job, "index">[] = [];
  for (const [service, rate] of rates) {
    const serviceRng = rng.fork(service);
    const source = new JobSource(kinds.filter((k) => k.service === service), serviceRng);
    const gap = randomExponential.source(serviceRng.next)(rate / 1_000);
    for (let atMs = gap(); atMs < arrivalMs; atMs += gap()) {
      drawn.push(makeJob(source.draw(), atMs, entries, serviceRng));
    }
  }
  drawn.sort((a, b) => a.atMs - b.atMs);
  return drawn.map((job, index) => ({ ...job, index, digest: `d${index}` }));
}

function makeJob(draw: JobDraw, atMs: number, entries: number, rng: Rng): Omit<Job, "index"> {
  const { kind, outputTokens, promptTokens } = draw;
  const account = kind.accounts[pickShare(kind.accounts, rng)]!.account;
  const shared = kind.sharedPrefixes;
  const prefixes = shared === undefined ? [] : sharedPrefixes(kind, shared, rng);
  return {
    atMs,
    entry: rng.int(entries),
    service: kind.service,
    account,
    kind: kind.kind,
    promptTokens: promptTokens + (prefixes.at(-1)?.tokens ?? 0),
    prefixes,
    outputTokens,
    digest: "",
    poison: false,
    streamed: true,
  };
}

/**
 * Draws a shared prefix, given as three nested prefixes of growing length. Squaring the random number makes
 * low indexes more frequent, so that a few prefixes are used much more than the rest.
 */
function sharedPrefixes(kind: WorkKind, shared: { count: number; tokens: number }, rng: Rng) {
  const i = Math.floor(shared.count * rng.next() ** 2);
  return [0.4, 0.7, 1].map((fraction) => ({
    hash: `${kind.kind}-${i}-${fraction}`,
    tokens: Math.round(shared.tokens * fraction),
  }));
}
