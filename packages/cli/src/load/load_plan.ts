/**
 * What the load tool sends: arrivals, services, lengths and accounts, all drawn from one seed.
 *
 * @module
 */
import { Rng } from "@wisteriapick/core";
import { randomExponential, randomLogNormal } from "d3-random";

/** One share of a mix. */
export interface Share {
  readonly name: string;
  readonly weight: number;
}

/** A client account that sends. */
export interface LoadAccount extends Share {
  readonly key: string;
}

/** Options of one run. */
export interface LoadOptions {
  readonly url: string;
  readonly accounts: readonly LoadAccount[];
  /** Services by name; `model` ones generate, `plain` ones answer stock checks. */
  readonly services: readonly (Share & { readonly kind: "model" | "plain" })[];
  /** Weights of the length classes `short` and `long`. */
  readonly lengths: readonly Share[];
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  /** The run ends early after this many requests. */
  readonly maxRequests: number;
  /** Requests open at once; further arrivals are counted as not sent. */
  readonly maxOpen: number;
  readonly seed: number;
}

/** One request of a plan. */
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
// Medians and spreads of output lengths in tokens: tags of a few words, descriptions of up to several pages.
const LENGTHS = {
  short: { median: 6, sigma: 0.5, min: 1, max: 40 },
  long: { median: 220, sigma: 0.7, min: 30, max: 4_000 },
} as const;
const STOCK_ITEMS = 200;

/** Names of the length classes. */
export const LENGTH_CLASSES = Object.keys(LENGTHS) as (keyof typeof LENGTHS)[];

function pickShare<T extends Share>(rng: Rng, shares: readonly T[]): T {
  const total = shares.reduce((sum, s) => sum + s.weight, 0);
  let left = rng.next() * total;
  for (const share of shares) {
    left -= share.weight;
    if (left < 0) return share;
  }
  return shares.at(-1)!;
}

/**
 * Yields the requests of a run in order of time. The same options give the same requests.
 *
 * @example
 * ```ts
 * for (const req of planLoad(options)) console.log(req.atMs, req.service);
 * ```
 */
export function* planLoad(options: LoadOptions): Generator<PlannedRequest> {
  // The first numbers of a generator with a small seed lie near 1, which would delay the first arrival for long;
  // a fork hashes its seed.
  const rng = new Rng(options.seed).fork("load");
  const gapMs = randomExponential.source(rng.next)(options.requestsPerSecond / 1_000);
  const logNormal = randomLogNormal.source(rng.next);
  let atMs = gapMs();
  for (let n = 0; n < options.maxRequests && atMs < options.durationMs; n++) {
    const service = pickShare(rng, options.services);
    const account = pickShare(rng, options.accounts);
    const length = LENGTHS[pickShare(rng, options.lengths).name as keyof typeof LENGTHS];
    const drawn = Math.round(logNormal(Math.log(length.median), length.sigma)());
    const tokens = Math.min(length.max, Math.max(length.min, drawn));
    const prompt = service.kind === "plain"
      ? `item-${rng.int(STOCK_ITEMS)}`
      : `Describe ${rng.pick(SUBJECTS)}, number ${n} [tokens=${tokens}]`;
    const { name, kind } = service;
    yield { atMs, service: name, kind, account, prompt, maxTokens: length.max };
    atMs += gapMs();
  }
}
