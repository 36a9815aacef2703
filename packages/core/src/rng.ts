/**
 * Seeded random numbers.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const TWO_POW_32 = 4294967296;

/**
 * A seeded generator. The same seed gives the same numbers on every machine.
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

  /** A number in [0, 1), shaped as the `source` that `d3-random` takes. */
  readonly next = (): number => (this.#gen.next() >>> 0) / TWO_POW_32;

  /** A whole number in [0, n). */
  int(n: number): number {
    return Math.floor(this.next() * n);
  }

  /** One element of a list that is not empty. */
  pick<T>(xs: readonly T[]): T {
    return xs[this.int(xs.length)]!;
  }

  /** True with probability `p`. */
  chance(p: number): boolean {
    return this.next() < p;
  }

  /** An independent generator named by `label`; adding one does not shift the numbers of others. */
  fork(label: string): Rng {
    const digest = createHash("sha256").update(`${this.seed}/${label}`).digest();
    return new Rng(digest.readInt32BE(0));
  }
}
