/**
 * Draws the open-loop load and calibrates it to the engines' capacity.
 *
 * @module
 */
import { generationId, ManualClock, Rng, type ServiceId } from "@wisteriapick/core";
import { EngineModel, type EngineOptions } from "@wisteriapick/standins";
import { randomExponential, randomLogNormal } from "d3-random";
import type { EndpointSpec, Job, WorkKind } from "./types.ts";

// The calibration keeps a backlog of this size in front of one engine.
const BACKLOG = 192;
const CALIBRATION_MS = 120_000;
const WARM_UP_MS = 30_000;
const CALIBRATION_SEED = 97;
const MEAN_SAMPLES = 40_000;

interface Draw {
  readonly kind: WorkKind;
  readonly outputTokens: number;
  readonly promptTokens: number;
}

/** Draws jobs of one service. */
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

  draw(): Draw {
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

/** Output tokens per second of one saturated, warm engine under this work. */
export function engineCapacity(engine: EngineOptions, kinds: readonly WorkKind[]): number {
  const clock = new ManualClock();
  const rng = new Rng(CALIBRATION_SEED);
  const source = new JobSource(kinds, rng.fork("jobs"));
  let tokens = 0;
  let n = 0;
  const feed = () => {
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
      onFinish: () => feed(),
    },
  });
  for (let i = 0; i < BACKLOG; i++) feed();
  clock.advance(CALIBRATION_MS);
  return tokens / ((CALIBRATION_MS - WARM_UP_MS) / 1_000);
}

/** Requests per second that load the endpoints of a service to `load`. */
export function arrivalRate(
  endpoints: readonly EndpointSpec[],
  kinds: readonly WorkKind[],
  load: number,
): number {
  const known = new Map<string, number>();
  let capacity = 0;
  for (const { engine } of endpoints) {
    const key = JSON.stringify({ ...engine, startsCold: false });
    const found = known.get(key) ?? engineCapacity(engine, kinds);
    known.set(key, found);
    capacity += found;
  }
  const source = new JobSource(kinds, new Rng(CALIBRATION_SEED).fork("mean"));
  let sum = 0;
  for (let i = 0; i < MEAN_SAMPLES; i++) sum += source.draw().outputTokens;
  return load * capacity / (sum / MEAN_SAMPLES);
}

/** Jobs of all services over the arrival time, in order of arrival. */
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
    const own = rng.fork(service);
    const source = new JobSource(kinds.filter((k) => k.service === service), own);
    const gap = randomExponential.source(own.next)(rate / 1_000);
    for (let atMs = gap(); atMs < arrivalMs; atMs += gap()) {
      drawn.push(makeJob(source.draw(), atMs, entries, own));
    }
  }
  drawn.sort((a, b) => a.atMs - b.atMs);
  return drawn.map((job, index) => ({ ...job, index, digest: `d${index}` }));
}

function makeJob(draw: Draw, atMs: number, entries: number, rng: Rng): Omit<Job, "index"> {
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

/** A prefix in three growing parts, drawn with a few favourites. */
function sharedPrefixes(kind: WorkKind, shared: { count: number; tokens: number }, rng: Rng) {
  const i = Math.floor(shared.count * rng.next() ** 2);
  return [0.4, 0.7, 1].map((part) => ({
    hash: `${kind.kind}-${i}-${part}`,
    tokens: Math.round(shared.tokens * part),
  }));
}
