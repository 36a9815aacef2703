/**
 * One entry in an experiment: the real placement, retry and quarantine classes around simulated links.
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

/** Options of the product's side of an experiment. */
export interface EntryOptions {
  readonly placement?: Partial<SubsetPlacementOptions>;
  readonly retry?: RetryPolicyOptions;
  /** Time a caller gives its request to start. */
  readonly deadlineMs?: number;
  /** Endpoints that a request must not go to by the configuration, besides those it has tried. */
  readonly closed?: (job: Job) => ReadonlySet<EndpointId>;
}

interface Request {
  readonly job: Job;
  /** Time of arrival, or of the end of the last run. */
  waitingSinceMs: number;
  readonly excluded: Set<EndpointId>;
  hops: number;
  holds: number;
  runs: number;
  attempts: number;
  delivered: number;
  /** Tells answers of an abandoned attempt from those of the present one. */
  current: number;
}

const MAX_OUTPUT_TOKENS = 32_768;
const START_DEADLINE_MS = 30_000;
// Every eighth gap is enough to notice a slow endpoint.
const GAP_SAMPLE = 8;
const CLEAR_TOKENS = 8;

/** One entry. */
export class SimEntry {
  readonly #clock: Clock;
  readonly #name: string;
  readonly #recorder: Recorder;
  readonly #placement: SubsetPlacement;
  readonly #retry: RetryPolicy;
  readonly #deadlineMs: number;
  readonly #closed: EntryOptions["closed"];
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
    this.#closed = options.closed;
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
    const req: Request = {
      job,
      waitingSinceMs: this.#clock.now(),
      excluded: new Set(),
      hops: 0,
      holds: 0,
      runs: 0,
      attempts: 0,
      delivered: 0,
      current: -1,
    };
    this.#send(req);
  }

  #send(req: Request): void {
    const now = this.#clock.now();
    if (this.#quarantine.remainingMs(req.job.digest, now) > 0) {
      this.#giveUp(req, "quarantined", true);
      return;
    }
    const placementReq = this.#placementRequest(req);
    const endpoint = this.#placement.choose(placementReq, now);
    if (endpoint === null) {
      this.#after(req, "no_endpoint", true);
      return;
    }
    req.hops++;
    req.attempts++;
    req.excluded.add(endpoint);
    req.current = this.#attempts++;
    this.#placement.recordSent(endpoint, placementReq, now);
    this.#dispatch(req, endpoint, req.current);
  }

  #dispatch(req: Request, endpoint: EndpointId, attempt: number): void {
    const { side, link } = this.#sides.get(endpoint)!;
    const gen = generationId(`${this.#name}.${attempt}`);
    const offer = () =>
      side.offer(req.job, this.#admissionRequest(req, gen), {
        admitted: (load) => link.answer(() => this.#outcome(endpoint, { type: "admitted", load })),
        notRun: (reason, _retryAfterMs, load) =>
          link.answer(() => {
            this.#outcome(endpoint, { type: "not_run", reason, load });
            this.#after(req, reason, true);
          }),
        token: (offset) => link.stream((atMs) => this.#token(req, endpoint, attempt, offset, atMs)),
        ended: (load) => link.stream(() => this.#ended(req, endpoint, load)),
        failed: () => link.answer(() => this.#failed(req, side)),
      });
    link.send(offer, () => {
      // After a reconnect the side says that it never saw this generation.
      this.#outcome(endpoint, { type: "abandoned" });
      this.#after(req, "link_lost", true);
    });
  }

  #placementRequest(req: Request): PlacementRequest {
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

  #excluded(req: Request): ReadonlySet<EndpointId> {
    if (this.#closed === undefined) return req.excluded;
    return new Set([...req.excluded, ...this.#closed(req.job)]);
  }

  #admissionRequest(req: Request, gen: GenerationId) {
    const { service, account, promptTokens, digest } = req.job;
    return {
      gen,
      service,
      account,
      weight: 1,
      promptTokens,
      maxTokens: MAX_OUTPUT_TOKENS,
      priority: 0,
      deadlineMs: req.waitingSinceMs + this.#deadlineMs,
      digest,
      attempt: req.attempts,
      suspectCrashes: this.#quarantine.crashCount(digest, this.#clock.now()),
    };
  }

  #outcome(endpoint: EndpointId, outcome: Parameters<SubsetPlacement["recordOutcome"]>[1]): void {
    this.#placement.recordOutcome(endpoint, outcome, this.#clock.now());
  }

  #token(req: Request, endpoint: EndpointId, attempt: number, offset: number, atMs: number): void {
    const { index, digest } = req.job;
    if (offset % GAP_SAMPLE === GAP_SAMPLE - 1) {
      this.#outcome(endpoint, { type: "gap", gapMs: this.#recorder.sinceLast(index, atMs) });
    }
    this.#recorder.token(index, attempt, offset, atMs + CLIENT_DELAY_MS);
    if (req.job.streamed) req.delivered = offset + 1;
    if (offset + 1 === CLEAR_TOKENS && this.#quarantine.crashCount(digest, atMs) > 0) {
      this.#quarantine.recordCleared(digest, atMs);
    }
  }

  #ended(req: Request, endpoint: EndpointId, load: LoadView): void {
    this.#outcome(endpoint, { type: "ended", load });
    this.#lengths.recordEnd(
      req.job.service,
      req.job.account,
      this.#recorder.delivered(req.job.index),
    );
    this.#recorder.completed(req.job.index);
  }

  #failed(req: Request, side: SimSide): void {
    const now = this.#clock.now();
    this.#outcome(side.spec.endpoint, { type: "failed", reason: "engine_lost" });
    const suspects = side.quarantine.entries(now).filter((e) => e.digest === req.job.digest);
    this.#quarantine.merge(suspects, now);
    // Other entries learn of it before the caller gets an answer.
    if (suspects.length > 0) this.#onSuspect(suspects);
    req.runs++;
    req.waitingSinceMs = now;
    if (req.delivered === 0) this.#recorder.discard(req.job.index);
    this.#after(req, "engine_lost", false);
  }

  #after(req: Request, reason: RefusalReason, notRun: NotRun): void {
    const decision = this.#retry.decide({
      reason,
      notRun,
      hasDelivered: req.delivered > 0,
      repeatable: true,
      hops: req.hops,
      holds: req.holds,
      runs: req.runs,
      arrivedAtMs: req.waitingSinceMs,
      deadlineMs: req.waitingSinceMs + this.#deadlineMs,
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

  #giveUp(req: Request, reason: RefusalReason, neverRan: boolean): void {
    const { index } = req.job;
    if (this.#recorder.ended(index)) return;
    if (neverRan || reason === "quarantined") this.#recorder.refused(index, reason);
    else this.#recorder.failed(index, reason);
  }
}

function hostOf(spec: EndpointSpec) {
  return spec.endpoint as string as HostId;
}
