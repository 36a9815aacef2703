/**
 * Tracks the attempts of one request: which endpoints were tried, whether any may have run the request, and what
 * to do next.
 *
 * @module
 */
import type { Clock, EndpointId, Metrics, Refusal, VersionId } from "@wisteriapick/core";
import type { PlacementRequest, RetryPolicy } from "@wisteriapick/policy";
import type { Placement } from "@wisteriapick/policy";

/** What all attempts of a request have in common. */
export interface RequestAttemptsOptions {
  readonly placementRequest: Omit<PlacementRequest, "versions" | "excluded">;
  /** Versions that may serve the request, the preferred one first. */
  readonly versions: readonly VersionId[];
  /** Endpoints that the request must not be sent to, for example those of a data centre that is still returning. */
  readonly ineligibleEndpoints: ReadonlySet<EndpointId>;
  readonly repeatable: boolean;
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
}

/** Dependencies of {@link RequestAttempts.decideNext}. */
export interface RetryDependencies {
  readonly clock: Clock;
  readonly retry: RetryPolicy;
  readonly metrics: Metrics;
}

const NO_ENDPOINT_REFUSAL: Refusal = {
  type: "no_endpoint",
  message: "no endpoint can take the request at present",
  notRun: true,
  retryAfterMs: 1_000,
};

const DEADLINE_REFUSAL: Refusal = {
  type: "deadline_exceeded",
  message: "the deadline passed before an endpoint started the request",
  notRun: true,
};

/** The attempts of one request. */
export class RequestAttempts {
  count = 0;
  endpoint: EndpointId | null = null;
  version: VersionId | null = null;
  /** Whether the request is known not to have run, over all attempts. */
  notRun: Refusal["notRun"] = true;
  readonly #o: RequestAttemptsOptions;
  readonly #excluded: Set<EndpointId>;
  #hops = 0;
  #holds = 0;
  #runs = 0;
  #lastRefusal: Refusal | null = null;

  constructor(options: RequestAttemptsOptions) {
    this.#o = options;
    this.#excluded = new Set(options.ineligibleEndpoints);
  }

  /** Chooses the next endpoint, or `null`. Later versions are considered only where no endpoint runs the first. */
  choose(
    placement: Placement,
    nowMs: number,
  ): { endpoint: EndpointId; placementRequest: PlacementRequest } | null {
    const { placementRequest: template, versions } = this.#o;
    for (const list of [versions.slice(0, 1), versions]) {
      const req: PlacementRequest = { ...template, versions: list, excluded: this.#excluded };
      const endpoint = placement.choose(req, nowMs);
      if (endpoint !== null) return { endpoint, placementRequest: req };
      if (versions.length === 1) return null;
    }
    return null;
  }

  /** Records the start of an attempt. */
  begin(endpoint: EndpointId, version: VersionId): void {
    this.count++;
    this.#hops++;
    this.endpoint = endpoint;
    this.version = version;
    this.#excluded.add(endpoint);
  }

  /** Allows an endpoint to be tried again. */
  allow(endpoint: EndpointId): void {
    this.#excluded.delete(endpoint);
  }

  /** Records a failed attempt. */
  recordFailure(refusal: Refusal): void {
    this.#lastRefusal = refusal;
    if (refusal.notRun === true) return;
    this.#runs++;
    if (refusal.notRun === false) this.notRun = false;
    else if (this.notRun === true) this.notRun = "unknown";
  }

  /**
   * Decides what follows a failed attempt, or the lack of an endpoint where `refusal` is `null`. Holds the request
   * for as long as the retry policy says. Returns the refusal with which the request ends, or `null` for another
   * attempt.
   */
  async decideNext(refusal: Refusal | null, deps: RetryDependencies): Promise<Refusal | null> {
    const cause = refusal ?? NO_ENDPOINT_REFUSAL;
    const { repeatable, arrivedAtMs, deadlineMs } = this.#o;
    const report = {
      reason: cause.type,
      notRun: cause.notRun,
      hasDelivered: false,
      repeatable,
      hops: this.#hops,
      waitingSinceMs: arrivedAtMs,
      holds: this.#holds,
      runs: this.#runs,
      arrivedAtMs,
      deadlineMs,
    };
    const decision = deps.retry.decide(report, deps.clock.now());
    if (decision.type === "give_up") {
      return decision.reason === "deadline_exceeded"
        ? this.deadlineRefusal()
        : this.#finalRefusal(cause);
    }
    deps.metrics.countRetry(cause.type);
    if (decision.type === "hold") {
      await deps.clock.sleep(decision.ms);
      this.#holds++;
      this.#hops = 0;
      this.#excluded.clear();
      for (const endpoint of this.#o.ineligibleEndpoints) this.#excluded.add(endpoint);
    }
    return null;
  }

  /** The refusal of a request whose deadline has passed. */
  deadlineRefusal(): Refusal {
    return { ...DEADLINE_REFUSAL, notRun: this.notRun };
  }

  /** The last endpoint's refusal, with what is known over all attempts. */
  #finalRefusal(cause: Refusal): Refusal {
    const refusal = cause === NO_ENDPOINT_REFUSAL && this.#lastRefusal !== null
      ? this.#lastRefusal
      : cause;
    return { ...refusal, notRun: this.notRun };
  }
}
