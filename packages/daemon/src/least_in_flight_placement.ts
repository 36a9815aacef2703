/**
 * A simple placement by requests in flight, a default for embedding and for tests of the relay.
 *
 * @module
 */
import type { DataCentreId, EndpointId, VersionId } from "@wisteriapick/core";
import {
  type AttemptOutcome,
  type EndpointInfo,
  type LoadView,
  Placement,
  type PlacementRequest,
} from "@wisteriapick/policy";

interface EndpointState {
  info: EndpointInfo;
  inFlight: number;
  version: VersionId | null;
  leaving: boolean;
  seq: number;
}

/** Chooses the endpoint with the fewest requests of this entry in flight. */
export class LeastInFlightPlacement extends Placement {
  readonly #endpoints = new Map<EndpointId, EndpointState>();
  #usable: ReadonlySet<DataCentreId> | null = null;

  setEndpoint(info: EndpointInfo): void {
    const existing = this.#endpoints.get(info.endpoint);
    const state = existing ?? { info, inFlight: 0, version: null, leaving: false, seq: -1 };
    state.info = info;
    this.#endpoints.set(info.endpoint, state);
  }

  removeEndpoint(endpoint: EndpointId): void {
    this.#endpoints.delete(endpoint);
  }

  setDataCentres(usable: ReadonlySet<DataCentreId>): void {
    this.#usable = usable;
  }

  choose(req: PlacementRequest): EndpointId | null {
    let best: EndpointState | null = null;
    for (const state of this.#endpoints.values()) {
      if (!this.#isEligible(state, req)) continue;
      if (best === null || state.inFlight < best.inFlight) best = state;
    }
    return best?.info.endpoint ?? null;
  }

  recordSent(endpoint: EndpointId): void {
    const state = this.#endpoints.get(endpoint);
    if (state !== undefined) state.inFlight++;
  }

  recordOutcome(endpoint: EndpointId, outcome: AttemptOutcome): void {
    const state = this.#endpoints.get(endpoint);
    if (state === undefined) return;
    if ("load" in outcome && outcome.load !== undefined) this.recordLoad(outcome.load);
    const isOpen = ["admitted", "first_token", "gap"].includes(outcome.type);
    if (!isOpen) state.inFlight = Math.max(0, state.inFlight - 1);
  }

  recordLoad(load: LoadView): void {
    const state = this.#endpoints.get(load.endpoint);
    if (state === undefined || load.seq < state.seq) return;
    state.seq = load.seq;
    state.version = load.version;
    state.leaving = load.leaving;
  }

  #isEligible(state: EndpointState, req: PlacementRequest): boolean {
    if (state.info.service !== req.service || state.leaving) return false;
    if (req.excluded.has(state.info.endpoint)) return false;
    if (this.#usable !== null && !this.#usable.has(state.info.dataCentre)) return false;
    return state.version === null || req.versions.includes(state.version);
  }
}
