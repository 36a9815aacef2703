/**
 * Seeded pseudo-random numbers.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const TWO_POW_32 = 4294967296;

/**
 * A seeded pseudo-random generator. The same seed yields the same numbers on every machine.
 *
 * @example
 * ```ts
 * const rng = new Rng(7);
 * const x = rng.next(); // in [0, 1)
 * ```
 */
export class Rng {
  readonly seed: number;
  readonly #gen: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.seed = seed;
    this.#gen = xoroshiro128plus(seed);
  }

  /** Returns a number in [0, 1); it can be passed to `d3-random` as its `source`. */
  readonly next = (): number => (this.#gen.next() >>> 0) / TWO_POW_32;

  /** Returns an integer in [0, n). */
  int(n: number): number {
    return Math.floor(this.next() * n);
  }

  /** Returns a random element of a non-empty list. */
  pick<T>(xs: readonly T[]): T {
    return xs[this.int(xs.length)]!;
  }

  /** Returns true with probability `p`. */
  chance(p: number): boolean {
    return this.next() < p;
  }

  /** Derives an independent generator from the seed and `label`; this does not affect the numbers of other generators. */
  fork(label: string): Rng {
    const digest = createHash("sha256").update(`${this.seed}/${label}`).digest();
    return new Rng(digest.readInt32BE(0));
  }
}
