/**
 * A steady load of generations: a number of open streams and new requests at an even rate.
 *
 * @module
 */
import { Rng } from "@wisteriapick/core";

/** The size of a load. */
export interface LoadShape {
  readonly streams: number;
  readonly requestsPerSecond: number;
  readonly tokensPerRequest: number;
}

const TICK_MS = 10;

/**
 * Starts `shape.streams` generations with lengths as if they had been running for a while, then new ones at the even
 * rate. Returns the function that stops it.
 */
export function startLoad(shape: LoadShape, seed: number, open: (tokens: number) => void) {
  const rng = new Rng(seed);
  for (let i = 0; i < shape.streams; i++) open(1 + rng.int(shape.tokensPerRequest));
  const startMs = performance.now();
  let opened = 0;
  const timer = setInterval(() => {
    const due = Math.floor((performance.now() - startMs) / 1_000 * shape.requestsPerSecond);
    for (; opened < due; opened++) open(shape.tokensPerRequest);
  }, TICK_MS);
  return () => clearInterval(timer);
}

/** Resolves after `ms` milliseconds. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
