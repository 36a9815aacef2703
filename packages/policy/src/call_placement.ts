/**
 * Chooses the endpoint of a call to a plain service by its expected response time. Load pattern:
 * short calls whose latency target is close to their processing time, on few endpoints with few
 * slots, of which some fail or hang while their health checks pass.
 *
 * @module
 */
import type { Rng } from "@wisteriapick/core";

/** An endpoint that may take a call. */
export interface CallCandidate {
  /** Calls of this gateway that are in progress at the endpoint. */
  readonly inFlight: number;
  /** Calls that the endpoint processes concurrently. */
  readonly slots: number;
  /** Recent time to a response, in milliseconds; 0 until known. */
  readonly latencyMs: number;
  readonly isLocal: boolean;
  /** Whether an idle connection to it is open. */
  readonly isConnected: boolean;
}

/** Options of {@link chooseCallEndpoint}. */
export interface CallPlacementOptions {
  /**
   * Number of gateways that place calls on the same endpoints, or the inverse of this gateway's share of the requests
   * where that is known.
   */
  readonly gatewayCount: number;
  readonly rng: Rng;
}

/** Cost of another data centre, in milliseconds of response time: traffic between data centres is paid for. */
const REMOTE_COST_MS = 6;
/** Cost of opening a connection, in milliseconds: a round trip and the time to accept it. */
const CONNECT_COST_MS = 3;
/** Response time assumed where no endpoint has responded yet, in milliseconds. */
const UNKNOWN_LATENCY_MS = 20;
/** Largest random addition to each cost, so that gateways with equal data do not all choose the same endpoint. */
const JITTER_MS = 4;

/**
 * Chooses the candidate with the shortest expected response time; `null` without candidates.
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
  let bestCostMs = Infinity;
  // An endpoint that has not responded yet is assumed to be as fast as the best one; otherwise it would never be tried.
  const knownLatenciesMs = candidates.map((c) => c.latencyMs).filter((ms) => ms > 0);
  const assumedLatencyMs = knownLatenciesMs.length > 0
    ? Math.min(...knownLatenciesMs)
    : UNKNOWN_LATENCY_MS;
  for (const candidate of candidates) {
    const costMs = expectedCostMs(candidate, gatewayCount, assumedLatencyMs) +
      JITTER_MS * rng.next();
    if (costMs < bestCostMs) {
      best = candidate;
      bestCostMs = costMs;
    }
  }
  return best;
}

function expectedCostMs(
  candidate: CallCandidate,
  gatewayCount: number,
  assumedLatencyMs: number,
): number {
  const { inFlight, slots, latencyMs, isLocal, isConnected } = candidate;
  const expectedLatencyMs = latencyMs > 0 ? latencyMs : assumedLatencyMs;
  // The calls of all gateways are assumed to be spread like those of this one. Sums that gateways announce are a second
  // old; all of them then choose the endpoint that seemed the emptiest, which is worse from 3/4 of the capacity on.
  const expectedInFlight = inFlight * gatewayCount;
  const queueLoad = Math.max(0, expectedInFlight + 1 - slots) / slots;
  const slotLoad = Math.min(1, expectedInFlight / slots);
  return expectedLatencyMs * (1 + slotLoad + 2 * queueLoad) + (isLocal ? 0 : REMOTE_COST_MS) +
    (isConnected ? 0 : CONNECT_COST_MS);
}
