/**
 * The tries of one request: which endpoints were asked, what is known of having run, and what to do next.
 *
 * @module
 */
import type { Clock, EndpointId, Metrics, Refusal, VersionId } from "@wisteriapick/core";
import type { PlacementRequest, RetryPolicy } from "@wisteriapick/policy";
import type { Placement } from "@wisteriapick/policy";

/** What all tries of a request have in common. */
export interface TriesOptions {
  readonly place: Omit<PlacementRequest, "versions" | "excluded">;
  /** Versions that may serve it, the preferred first. */
  readonly versions: readonly VersionId[];
  /** Endpoints that the request must not go to, for example in a data centre that is only just returning. */
  readonly barred: ReadonlySet<EndpointId>;
  readonly repeatable: boolean;
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
}

/** What a decision is made with. */
export interface TriesDeps {
  readonly clock: Clock;
  readonly retry: RetryPolicy;
  readonly metrics: Metrics;
}

const NO_ENDPOINT: Refusal = {
  type: "no_endpoint",
  message: "no endpoint can take the request at present",
  notRun: true,
  retryAfterMs: 1_000,
};

const LATE: Refusal = {
  type: "deadline_exceeded",
  message: "the deadline passed before an endpoint started the request",
  notRun: true,
};

/** The tries of one request. */
export class RequestAttempts {
  attempts = 0;
  endpoint: EndpointId | null = null;
  version: VersionId | null = null;
  /** What is known of all tries together. */
  notRun: Refusal["notRun"] = true;
  readonly #o: TriesOptions;
  readonly #excluded: Set<EndpointId>;
  #hops = 0;
  #holds = 0;
  #runs = 0;
  #last: Refusal | null = null;

  constructor(options: TriesOptions) {
    this.#o = options;
    this.#excluded = new Set(options.barred);
  }

  /** The endpoint to ask next, or `null`. Versions after the first count only where none runs the first. */
  choose(
    placement: Placement,
    nowMs: number,
  ): { endpoint: EndpointId; place: PlacementRequest } | null {
    const { place, versions } = this.#o;
    for (const list of [versions.slice(0, 1), versions]) {
      const req: PlacementRequest = { ...place, versions: list, excluded: this.#excluded };
      const endpoint = placement.choose(req, nowMs);
      if (endpoint !== null) return { endpoint, place: req };
      if (versions.length === 1) return null;
    }
    return null;
  }

  begin(endpoint: EndpointId, version: VersionId): void {
    this.attempts++;
    this.#hops++;
    this.endpoint = endpoint;
    this.version = version;
    this.#excluded.add(endpoint);
  }

  /** Lets an endpoint be asked again. */
  allow(endpoint: EndpointId): void {
    this.#excluded.delete(endpoint);
  }

  /** Notes how a try failed. */
  failed(refusal: Refusal): void {
    this.#last = refusal;
    if (refusal.notRun === true) return;
    this.#runs++;
    if (refusal.notRun === false) this.notRun = false;
    else if (this.notRun === true) this.notRun = "unknown";
  }

  /**
   * Decides what follows a failed try, or that no endpoint was found. Waits where the policy says so. Returns
   * the refusal with which the request ends, or `null` for another try.
   */
  async next(refusal: Refusal | null, deps: TriesDeps): Promise<Refusal | null> {
    const found = refusal ?? NO_ENDPOINT;
    const { repeatable, arrivedAtMs, deadlineMs } = this.#o;
    const report = {
      reason: found.type,
      notRun: found.notRun,
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
      return decision.reason === "deadline_exceeded" ? this.late() : this.#final(found);
    }
    deps.metrics.countRetry(found.type);
    if (decision.type === "hold") {
      await deps.clock.sleep(decision.ms);
      this.#holds++;
      this.#hops = 0;
      this.#excluded.clear();
      for (const endpoint of this.#o.barred) this.#excluded.add(endpoint);
    }
    return null;
  }

  /** The refusal of a request whose deadline has passed. */
  late(): Refusal {
    return { ...LATE, notRun: this.notRun };
  }

  /** Says why the last endpoint did not answer, and what is known of all tries. */
  #final(found: Refusal): Refusal {
    const refusal = found === NO_ENDPOINT && this.#last !== null ? this.#last : found;
    return { ...refusal, notRun: this.notRun };
  }
}
