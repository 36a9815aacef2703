/**
 * A steady load of generations: a number of open streams, and new requests at a constant rate.
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
 * Starts `shape.streams` generations with random remaining lengths, as if they had been running for a while, then new
 * ones at a constant rate. Returns a function that stops the load.
 */
export function startLoad(shape: LoadShape, seed: number, start: (tokens: number) => void) {
  const rng = new Rng(seed);
  for (let i = 0; i < shape.streams; i++) start(1 + rng.int(shape.tokensPerRequest));
  const startMs = performance.now();
  let started = 0;
  const timer = setInterval(() => {
    const due = Math.floor((performance.now() - startMs) / 1_000 * shape.requestsPerSecond);
    for (; started < due; started++) start(shape.tokensPerRequest);
  }, TICK_MS);
  return () => clearInterval(timer);
}

/** Resolves after `ms` milliseconds. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
