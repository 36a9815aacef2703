/**
 * Places calls to plain services. Load pattern: short calls with a target close to their work time, on few endpoints
 * with few slots, some of which fail or hang while their health checks pass.
 *
 * @module
 */
import type { Rng } from "@wisteriapick/core";

/** An endpoint that may take a call. */
export interface CallCandidate {
  /** Calls of this gateway that the endpoint works on. */
  readonly inFlight: number;
  /** Calls the endpoint works on at once. */
  readonly slots: number;
  /** Recent time to an answer, in milliseconds; 0 until known. */
  readonly latencyMs: number;
  readonly isLocal: boolean;
  /** Whether a connection is open already. */
  readonly isConnected: boolean;
}

/** Options of {@link chooseCallEndpoint}. */
export interface CallPlacementOptions {
  /** Gateways that place calls on the same endpoints. */
  readonly gatewayCount: number;
  readonly rng: Rng;
}

/** Disadvantage of another data centre, in milliseconds of expected answer time: bytes between them are paid for. */
const REMOTE_COST_MS = 6;
/** Disadvantage of an endpoint to which a connection must be opened, in milliseconds: a round trip and accept time. */
const CONNECT_COST_MS = 3;
/** Answer time assumed where no endpoint has answered yet, in milliseconds. */
const UNKNOWN_LATENCY_MS = 20;
/** Random part of each cost, so that gateways with equal knowledge do not all choose the same endpoint. */
const JITTER_MS = 4;

/**
 * The candidate with the least expected answer time, or `null` without candidates.
 *
 * @example
 * ```ts
 * const best = chooseCallEndpoint(candidates, { gatewayCount: 4, rng });
 * ```
 */
export function chooseCallEndpoint<T extends CallCandidate>(
  candidates: readonly T[],
  { gatewayCount, rng }: CallPlacementOptions,
): T | null {
  let best: T | null = null;
  let bestCost = Infinity;
  // An endpoint that has not answered yet is taken to be as quick as the best, or it would never be tried.
  const known = candidates.map((c) => c.latencyMs).filter((ms) => ms > 0);
  const assumedMs = known.length > 0 ? Math.min(...known) : UNKNOWN_LATENCY_MS;
  for (const candidate of candidates) {
    const cost = expectedCostMs(candidate, gatewayCount, assumedMs) + JITTER_MS * rng.next();
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}

function expectedCostMs(
  candidate: CallCandidate,
  gatewayCount: number,
  assumedMs: number,
): number {
  const { inFlight, slots, latencyMs, isLocal, isConnected } = candidate;
  const latency = latencyMs > 0 ? latencyMs : assumedMs;
  // The other gateways are taken to have as much under way as this one.
  const ahead = inFlight * gatewayCount;
  const waiting = Math.max(0, ahead + 1 - slots) / slots;
  const crowding = Math.min(1, ahead / slots);
  return latency * (1 + crowding + 2 * waiting) + (isLocal ? 0 : REMOTE_COST_MS) +
    (isConnected ? 0 : CONNECT_COST_MS);
}
