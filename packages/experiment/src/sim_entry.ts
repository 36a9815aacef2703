/**
 * Simulated entry: the placement, retry and quarantine policies of the product over simulated links.
 *
 * @module
 */
import {
  type Clock,
  dataCentreId,
  type EndpointId,
  type GenerationId,
  generationId,
  type HostId,
  type NotRun,
  type RefusalReason,
  type Rng,
} from "@wisteriapick/core";
import {
  LengthEstimator,
  type LoadView,
  type PlacementRequest,
  Quarantine,
  RetryPolicy,
  type RetryPolicyOptions,
  SubsetPlacement,
  type SubsetPlacementOptions,
  type SuspectEntry,
} from "@wisteriapick/policy";
import { CLIENT_DELAY_MS } from "./delays.ts";
import type { Recorder } from "./recorder.ts";
import type { SimLink } from "./sim_link.ts";
import type { SimSide } from "./sim_side.ts";
import type { EndpointSpec, Job } from "./types.ts";

/** Options of the policies of an entry. */
export interface EntryOptions {
  readonly placement?: Partial<SubsetPlacementOptions>;
  readonly retry?: RetryPolicyOptions;
  /** Time that a caller allows for its request to start. */
  readonly deadlineMs?: number;
  /** Returns the endpoints that the configuration excludes for a request, besides those already tried. */
  readonly ineligibleEndpoints?: (job: Job) => ReadonlySet<EndpointId>;
}

interface PendingRequest {
  readonly job: Job;
  /** Time of arrival, or of the failure of the last run. */
  queuedSinceMs: number;
  readonly excluded: Set<EndpointId>;
  hops: number;
  holds: number;
  runs: number;
  attempts: number;
  delivered: number;
  /** Number of the latest attempt, unique within the entry. */
  currentAttempt: number;
}

const MAX_OUTPUT_TOKENS = 32_768;
const START_DEADLINE_MS = 30_000;
// Every eighth gap is enough to detect a slow endpoint.
const GAP_SAMPLE_INTERVAL_TOKENS = 8;
const CLEARING_TOKENS = 8;

/** Places requests at sides, retries them and records what their callers receive. */
export class SimEntry {
  readonly #clock: Clock;
  readonly #name: string;
  readonly #recorder: Recorder;
  readonly #placement: SubsetPlacement;
  readonly #retry: RetryPolicy;
  readonly #deadlineMs: number;
  readonly #ineligibleEndpoints: EntryOptions["ineligibleEndpoints"];
  readonly #lengths = new LengthEstimator();
  readonly #sides = new Map<EndpointId, { side: SimSide; link: SimLink }>();
  readonly #quarantine = new Quarantine();
  readonly #onSuspect: (entries: readonly SuspectEntry[]) => void;
  #attempts = 0;

  constructor(
    { clock, name, rng, recorder, onSuspect, options = {} }: {
      clock: Clock;
      name: string;
      rng: Rng;
      recorder: Recorder;
      onSuspect: (entries: readonly SuspectEntry[]) => void;
      options?: EntryOptions;
    },
  ) {
    this.#clock = clock;
    this.#name = name;
    this.#recorder = recorder;
    this.#onSuspect = onSuspect;
    this.#deadlineMs = options.deadlineMs ?? START_DEADLINE_MS;
    this.#ineligibleEndpoints = options.ineligibleEndpoints;
    this.#retry = new RetryPolicy(rng.fork("retry"), options.retry);
    this.#placement = new SubsetPlacement({
      entry: name,
      dataCentre: dataCentreId("dc-0"),
      rng: rng.fork("placement"),
      ...options.placement,
    });
  }

  addSide(side: SimSide, link: SimLink): void {
    const { endpoint, service, dataCentre } = side.spec;
    this.#sides.set(endpoint, { side, link });
    this.#placement.setEndpoint({ endpoint, service, host: hostOf(side.spec), dataCentre });
  }

  link(endpoint: EndpointId): SimLink {
    return this.#sides.get(endpoint)!.link;
  }

  recordLoad(load: LoadView): void {
    this.#placement.recordLoad(load, this.#clock.now());
  }

  recordCacheEvent(endpoint: EndpointId, type: "stored" | "evicted", prefix: string): void {
    this.#placement.recordCacheEvent(endpoint, type, prefix);
  }

  mergeSuspects(entries: readonly SuspectEntry[]): void {
    this.#quarantine.merge(entries, this.#clock.now());
  }

  accept(job: Job): void {
    const req: PendingRequest = {
      job,
      queuedSinceMs: this.#clock.now(),
      excluded: new Set(),
      hops: 0,
      holds: 0,
      runs: 0,
      attempts: 0,
      delivered: 0,
      currentAttempt: -1,
    };
    this.#send(req);
  }

  #send(req: PendingRequest): void {
    const now = this.#clock.now();
    if (this.#quarantine.remainingMs(req.job.digest, now) > 0) {
      this.#giveUp(req, "quarantined", true);
      return;
    }
    const placementReq = this.#placementRequest(req);
    const endpoint = this.#placement.choose(placementReq, now);
    if (endpoint === null) {
      this.#retryOrGiveUp(req, "no_endpoint", true);
      return;
    }
    req.hops++;
    req.attempts++;
    req.excluded.add(endpoint);
    req.currentAttempt = this.#attempts++;
    this.#placement.recordSent(endpoint, placementReq, now);
    this.#dispatch(req, endpoint, req.currentAttempt);
  }

  #dispatch(req: PendingRequest, endpoint: EndpointId, attempt: number): void {
    const { side, link } = this.#sides.get(endpoint)!;
    const gen = generationId(`${this.#name}.${attempt}`);
    const offer = () =>
      side.offer(req.job, this.#admissionRequest(req, gen), {
        admitted: (load) =>
          link.respond(() => this.#recordOutcome(endpoint, { type: "admitted", load })),
        notRun: (reason, _retryAfterMs, load) =>
          link.respond(() => {
            this.#recordOutcome(endpoint, { type: "not_run", reason, load });
            this.#retryOrGiveUp(req, reason, true);
          }),
        token: (offset) =>
          link.stream((atMs) => this.#onToken(req, endpoint, attempt, offset, atMs)),
        ended: (load) => link.stream(() => this.#onEnded(req, endpoint, load)),
        failed: () => link.respond(() => this.#onFailed(req, side)),
      });
    link.send(offer, () => {
      // After a reconnect the side reports that it never received this generation.
      this.#recordOutcome(endpoint, { type: "abandoned" });
      this.#retryOrGiveUp(req, "link_lost", true);
    });
  }

  #placementRequest(req: PendingRequest): PlacementRequest {
    const { service, account, promptTokens, prefixes } = req.job;
    return {
      service,
      account,
      versions: [],
      promptTokens,
      prefixes: prefixes.map((p) => p.hash),
      expectedTokens: this.#lengths.expectedRemaining(service, account),
      excluded: this.#excluded(req),
    };
  }

  #excluded(req: PendingRequest): ReadonlySet<EndpointId> {
    if (this.#ineligibleEndpoints === undefined) return req.excluded;
    return new Set([...req.excluded, ...this.#ineligibleEndpoints(req.job)]);
  }

  #admissionRequest(req: PendingRequest, gen: GenerationId) {
    const { service, account, promptTokens, digest } = req.job;
    return {
      gen,
      service,
      account,
      weight: 1,
      promptTokens,
      maxTokens: MAX_OUTPUT_TOKENS,
      priority: 0,
      deadlineMs: req.queuedSinceMs + this.#deadlineMs,
      digest,
      attempt: req.attempts,
      suspectCrashes: this.#quarantine.crashCount(digest, this.#clock.now()),
    };
  }

  #recordOutcome(
    endpoint: EndpointId,
    outcome: Parameters<SubsetPlacement["recordOutcome"]>[1],
  ): void {
    this.#placement.recordOutcome(endpoint, outcome, this.#clock.now());
  }

  #onToken(
    req: PendingRequest,
    endpoint: EndpointId,
    attempt: number,
    offset: number,
    atMs: number,
  ): void {
    const { index, digest } = req.job;
    if (offset % GAP_SAMPLE_INTERVAL_TOKENS === GAP_SAMPLE_INTERVAL_TOKENS - 1) {
      this.#recordOutcome(endpoint, { type: "gap", gapMs: this.#recorder.sinceLast(index, atMs) });
    }
    this.#recorder.token(index, attempt, offset, atMs + CLIENT_DELAY_MS);
    if (req.job.streamed) req.delivered = offset + 1;
    if (offset + 1 === CLEARING_TOKENS && this.#quarantine.crashCount(digest, atMs) > 0) {
      this.#quarantine.recordCleared(digest, atMs);
    }
  }

  #onEnded(req: PendingRequest, endpoint: EndpointId, load: LoadView): void {
    this.#recordOutcome(endpoint, { type: "ended", load });
    this.#lengths.recordEnd(
      req.job.service,
      req.job.account,
      this.#recorder.delivered(req.job.index),
    );
    this.#recorder.completed(req.job.index);
  }

  #onFailed(req: PendingRequest, side: SimSide): void {
    const now = this.#clock.now();
    this.#recordOutcome(side.spec.endpoint, { type: "failed", reason: "engine_lost" });
    const suspects = side.quarantine.entries(now).filter((e) => e.digest === req.job.digest);
    this.#quarantine.merge(suspects, now);
    // The other entries are notified before the caller gets a response.
    if (suspects.length > 0) this.#onSuspect(suspects);
    req.runs++;
    req.queuedSinceMs = now;
    if (req.delivered === 0) this.#recorder.discard(req.job.index);
    this.#retryOrGiveUp(req, "engine_lost", false);
  }

  #retryOrGiveUp(req: PendingRequest, reason: RefusalReason, notRun: NotRun): void {
    const decision = this.#retry.decide({
      reason,
      notRun,
      hasDelivered: req.delivered > 0,
      repeatable: true,
      hops: req.hops,
      holds: req.holds,
      runs: req.runs,
      arrivedAtMs: req.queuedSinceMs,
      deadlineMs: req.queuedSinceMs + this.#deadlineMs,
    }, this.#clock.now());
    if (decision.type === "next") this.#send(req);
    else if (decision.type === "give_up") this.#giveUp(req, decision.reason, req.runs === 0);
    else {
      req.holds++;
      req.hops = 0;
      this.#clock.setTimer(decision.ms, () => {
        req.excluded.clear();
        this.#send(req);
      });
    }
  }

  #giveUp(req: PendingRequest, reason: RefusalReason, neverRan: boolean): void {
    const { index } = req.job;
    if (this.#recorder.ended(index)) return;
    if (neverRan || reason === "quarantined") this.#recorder.refused(index, reason);
    else this.#recorder.failed(index, reason);
  }
}

function hostOf(spec: EndpointSpec) {
  return spec.endpoint as string as HostId;
}
