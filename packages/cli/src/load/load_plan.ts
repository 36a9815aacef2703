/**
 * Plans the requests of a load: arrival times, services, lengths and accounts, all drawn from one seed.
 *
 * @module
 */
import { Rng } from "@wisteriapick/core";
import { randomExponential, randomLogNormal } from "d3-random";

/** One item of a weighted mix. */
export interface WeightedName {
  readonly name: string;
  readonly weight: number;
}

/** A client account that sends requests, with its API key. */
export interface LoadAccount extends WeightedName {
  readonly key: string;
}

/** Options of one run. */
export interface LoadOptions {
  readonly url: string;
  readonly accounts: readonly LoadAccount[];
  /** Services by name; `model` ones generate, `plain` ones serve stock checks. */
  readonly services: readonly (WeightedName & { readonly kind: "model" | "plain" })[];
  /** Weights of the length classes `short` and `long`. */
  readonly lengths: readonly WeightedName[];
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  /** The run ends early after this many requests. */
  readonly maxRequests: number;
  /** Maximum number of concurrent requests; further arrivals are counted as not sent. */
  readonly maxOpen: number;
  readonly seed: number;
}

/** One planned request; `atMs` counts from the start of the run. */
export interface PlannedRequest {
  readonly atMs: number;
  readonly service: string;
  readonly kind: "model" | "plain";
  readonly account: LoadAccount;
  readonly prompt: string;
  readonly maxTokens: number;
}

const SUBJECTS = [
  "a kente postcard with gold and green stripes",
  "a photograph of the Bonwire looms at dawn",
  "an ink drawing of the harbour at Tema",
  "a watercolour of the museum garden at Legon",
  "a print of drummers in Osu",
];
// Medians and log-scale standard deviations of output lengths in tokens: `short` stands for tags of a few words,
// `long` for descriptions of up to several pages.
const OUTPUT_LENGTHS_TOKENS = {
  short: { median: 6, sigma: 0.5, min: 1, max: 40 },
  long: { median: 220, sigma: 0.7, min: 30, max: 4_000 },
} as const;
const STOCK_ITEMS = 200;

/** Names of the length classes. */
export const LENGTH_CLASSES = Object.keys(
  OUTPUT_LENGTHS_TOKENS,
) as (keyof typeof OUTPUT_LENGTHS_TOKENS)[];

function pickWeighted<T extends WeightedName>(rng: Rng, items: readonly T[]): T {
  const total = items.reduce((sum, s) => sum + s.weight, 0);
  let remaining = rng.next() * total;
  for (const item of items) {
    remaining -= item.weight;
    if (remaining < 0) return item;
  }
  return items.at(-1)!;
}

/**
 * Yields the requests of a run by arrival time. Equal options yield equal requests.
 *
 * @example
 * ```ts
 * for (const req of planLoad(options)) console.log(req.atMs, req.service);
 * ```
 */
export function* planLoad(options: LoadOptions): Generator<PlannedRequest> {
  // The first numbers of a generator with a small seed lie near 1, which would delay the first arrival for long.
  // A fork hashes its seed.
  const rng = new Rng(options.seed).fork("load");
  const gapMs = randomExponential.source(rng.next)(options.requestsPerSecond / 1_000);
  const logNormal = randomLogNormal.source(rng.next);
  let atMs = gapMs();
  for (let n = 0; n < options.maxRequests && atMs < options.durationMs; n++) {
    const service = pickWeighted(rng, options.services);
    const account = pickWeighted(rng, options.accounts);
    const length = OUTPUT_LENGTHS_TOKENS[
      pickWeighted(rng, options.lengths).name as keyof typeof OUTPUT_LENGTHS_TOKENS
    ];
    const drawnTokens = Math.round(logNormal(Math.log(length.median), length.sigma)());
    const tokens = Math.min(length.max, Math.max(length.min, drawnTokens));
    const prompt = service.kind === "plain"
      ? `item-${rng.int(STOCK_ITEMS)}`
      : `Describe ${rng.pick(SUBJECTS)}, number ${n} [tokens=${tokens}]`;
    const { name, kind } = service;
    yield { atMs, service: name, kind, account, prompt, maxTokens: length.max };
    atMs += gapMs();
  }
}
