/**
 * Relays generations: chooses sides, and runs a generation again elsewhere while nothing of it has been delivered.
 *
 * @module
 */
import {
  type Clock,
  type EndpointId,
  type GenerationId,
  type Metrics,
  type Refusal,
  type RefusalReason,
  Rng,
  type VersionId,
} from "@wisteriapick/core";
import type { RequestOutcome } from "@wisteriapick/control";
import {
  type CompletionHead,
  type CompletionRequest,
  type ResumeSigner,
  TokenCursor,
} from "@wisteriapick/delivery";
import {
  type AttemptOutcome,
  type Placement,
  type PlacementRequest,
  Quarantine,
  RetryPolicy,
} from "@wisteriapick/policy";
import type { End, EndpointLoad, NotRunReply, Run } from "@wisteriapick/wire";
import type { EndpointDirectory, EndpointRecord } from "./endpoint_directory.ts";
import { followGeneration, type FollowLimits, type FollowResult } from "./entry_follower.ts";
import type { ResponseSink } from "./entry_sinks.ts";
import type { LinkSource } from "./link_source.ts";
import { OutcomeRecorder } from "./outcome_recorder.ts";
import { RequestAttempts } from "./request_attempts.ts";

/** Limits of {@link GenerationRelay}. */
export interface RelayLimits extends FollowLimits {
  /** Endpoints that are tried one after the other. */
  readonly maxHops: number;
  /** Time for which a resume id is valid. */
  readonly resumeTtlMs: number;
}

/** Limits for production use. */
export const RELAY_LIMITS: RelayLimits = {
  maxHops: 3,
  resumeWindowMs: 10_000,
  undeliveredWindowMs: 1_000,
  resumeBackoffMs: 100,
  idleTimeoutMs: 5_000,
  resumeTtlMs: 600_000,
};

/** Dependencies of a {@link GenerationRelay}. */
export interface GenerationRelayDependencies {
  readonly clock: Clock;
  readonly directory: EndpointDirectory;
  readonly links: LinkSource;
  readonly placement: Placement;
  readonly signer: ResumeSigner;
  readonly metrics: Metrics;
  readonly limits: RelayLimits;
  readonly makeGenerationId: () => GenerationId;
  /** The version that an endpoint is known to run. */
  readonly versionOf: (endpoint: EndpointId) => VersionId | null;
  /** The requests that this entry knows to crash endpoints. */
  readonly quarantine?: Quarantine;
  readonly retry?: RetryPolicy;
  /** Called with each load report that a message carries. */
  readonly recordLoad: (load: EndpointLoad) => void;
  /** Called with each attempt outcome that counts as evidence about its version. */
  readonly onOutcome?: (outcome: RequestOutcome) => void;
}

/** Placement receives one of this many gaps between tokens; evidence about versions counts all of them. */
const GAP_STRIDE = 8;
/** Tokens after which a request is no longer suspected of crashing endpoints. */
const CLEARED_AFTER_TOKENS = 8;

/** A request to relay. */
export interface RelayRequest {
  /** The fields of the message that are the same for each attempt. */
  readonly run: Omit<Run, "kind" | "gen" | "version" | "attempt" | "remainingMs">;
  readonly versions: readonly VersionId[];
  /** Endpoints that the request must not be sent to. */
  readonly ineligibleEndpoints?: ReadonlySet<EndpointId>;
  readonly completion: CompletionRequest;
  readonly expectedTokens: number;
  /** Monotonic time after which the request must not start. */
  readonly deadlineMs: number;
  /** Aborted when the caller has disconnected. */
  readonly callerSignal: AbortSignal;
}

/** How a request ended; for logs and evidence. */
export interface RelayOutcome {
  readonly gen: GenerationId | null;
  readonly endpoint: EndpointId | null;
  readonly version: VersionId | null;
  readonly attempts: number;
  /** Tokens of a complete response; 0 otherwise. */
  readonly tokens: number;
  readonly result: "end" | "refused" | "failed" | "caller_gone";
  readonly refusal: Refusal | null;
}

interface Job {
  readonly req: RelayRequest;
  readonly sink: ResponseSink;
  readonly attempts: RequestAttempts;
  gen: GenerationId | null;
}

/** Relays generations for one entry. */
export class GenerationRelay {
  readonly #deps: GenerationRelayDependencies;
  readonly #quarantine: Quarantine;
  readonly #retry: RetryPolicy;

  constructor(deps: GenerationRelayDependencies) {
    this.#deps = deps;
    this.#quarantine = deps.quarantine ?? new Quarantine();
    this.#retry = deps.retry ?? new RetryPolicy(new Rng(1), { maxHops: deps.limits.maxHops });
  }

  /** Runs a request and passes its response, or the refusal, to the sink. */
  async run(req: RelayRequest, sink: ResponseSink): Promise<RelayOutcome> {
    const { clock, metrics, placement, directory } = this.#deps;
    const job: Job = { req, sink, attempts: this.#makeAttempts(req), gen: null };
    const deps = { clock, metrics, retry: this.#retry };
    for (;;) {
      if (req.callerSignal.aborted) return outcomeOf(job, "caller_gone", null);
      const now = clock.now();
      if (now >= req.deadlineMs) return this.#fail(job, job.attempts.deadlineRefusal());
      const quarantinedMs = this.#quarantine.remainingMs(req.run.digest, now);
      if (quarantinedMs > 0) return this.#fail(job, makeQuarantineRefusal(job, quarantinedMs));
      const chosen = job.attempts.choose(placement, now);
      const target = chosen === null ? undefined : directory.get(chosen.endpoint);
      const res = chosen === null || target === undefined
        ? null
        : await this.#attempt(job, target, chosen.placementRequest);
      if (res !== null && "result" in res) return res;
      const finalRefusal = await job.attempts.decideNext(res, deps);
      if (finalRefusal !== null) return this.#fail(job, finalRefusal);
    }
  }

  /** Makes one attempt. Returns how the request ended, or the refusal after which another endpoint may be tried. */
  async #attempt(
    job: Job,
    target: EndpointRecord,
    placementRequest: PlacementRequest,
  ): Promise<RelayOutcome | Refusal> {
    const { clock, placement, limits, links } = this.#deps;
    const { req, sink, attempts } = job;
    const startMs = clock.now();
    const run = this.#makeRun(job, target, startMs);
    const { service, route } = req.run;
    const { endpoint } = target;
    const recorder = new OutcomeRecorder({ service, version: run.version, route, endpoint });
    const recordOutcome = (ev: AttemptOutcome) =>
      placement.recordOutcome(endpoint, ev, clock.now());
    let lastMs = startMs;
    let batches = 0;
    let isSuspect = run.suspectCrashes! > 0;
    attempts.begin(endpoint, run.version);
    sink.begin(...this.#head(req, run.gen, target));
    placement.recordSent(endpoint, placementRequest, startMs);
    const res = await followGeneration(target.side, run, {
      clock,
      links,
      limits,
      sink,
      cursor: new TokenCursor(0),
      callerSignal: req.callerSignal,
      onAdmitted: (load) => {
        this.#deps.recordLoad(load);
        recorder.recordAdmitted(load);
        recordOutcome({ type: "admitted", load });
      },
      onTokens: (offset) => {
        const now = clock.now();
        if (offset === 0) {
          recorder.recordFirstToken(now - startMs);
          recordOutcome({ type: "first_token", waitMs: now - startMs });
        } else {
          recorder.recordGap(now - lastMs);
          if (++batches % GAP_STRIDE === 0) recordOutcome({ type: "gap", gapMs: now - lastMs });
        }
        lastMs = now;
        if (isSuspect && offset >= CLEARED_AFTER_TOKENS) {
          isSuspect = false;
          this.#quarantine.recordCleared(req.run.digest, now);
        }
      },
    });
    recordOutcome(toAttemptOutcome(res));
    this.#reportAttempt(job, endpoint, res, recorder);
    return this.#concludeAttempt(job, target, res);
  }

  #makeRun(job: Job, target: EndpointRecord, startMs: number): Run {
    const { req, attempts } = job;
    const knownVersion = this.#deps.versionOf(target.endpoint);
    const version = knownVersion !== null && req.versions.includes(knownVersion)
      ? knownVersion
      : req.versions[0]!;
    const gen = this.#deps.makeGenerationId();
    job.gen = gen;
    return {
      ...req.run,
      kind: "run",
      gen,
      version,
      attempt: attempts.count + 1,
      suspectCrashes: this.#quarantine.crashCount(req.run.digest, startMs),
      remainingMs: Math.max(0, req.deadlineMs - startMs),
    };
  }

  /** Reports what an attempt shows about requests, versions and endpoints. */
  #reportAttempt(
    job: Job,
    endpoint: EndpointId,
    res: FollowResult,
    recorder: OutcomeRecorder,
  ): void {
    const { onOutcome = () => {} } = this.#deps;
    switch (res.type) {
      case "end":
        return onOutcome(recorder.makeResponseOutcome({ failed: false }));
      case "not_run":
        return this.#reportNotRun(job, endpoint, res.reply);
      case "fail": {
        if (res.suspects !== undefined) {
          this.#quarantine.merge(res.suspects, this.#deps.clock.now());
        }
        const failure = res.refusal.notRun === true
          ? null
          : recorder.makeFailureOutcome(res.refusal.type);
        if (failure !== null) onOutcome(failure);
      }
    }
  }

  /** Allows an endpoint that was sent the wrong version to be tried again for the one that it runs. */
  #reportNotRun(job: Job, endpoint: EndpointId, { reason, load }: NotRunReply): void {
    this.#deps.recordLoad(load);
    if (reason === "version_mismatch" && job.req.versions.includes(load.version)) {
      job.attempts.allow(endpoint);
    }
  }

  #concludeAttempt(job: Job, target: EndpointRecord, res: FollowResult): RelayOutcome | Refusal {
    const { sink, attempts } = job;
    if (res.type === "end") return this.#complete(job, res.end);
    if (res.type === "caller_gone") {
      // Nobody can resume a response whose id no caller has seen.
      if (!sink.isCommitted) this.#cancel(job, target);
      return outcomeOf(job, "caller_gone", null);
    }
    const refusal = attemptRefusal(res);
    if (sink.isCommitted) return this.#fail(job, { ...refusal, notRun: false });
    if (res.type === "lost") this.#cancel(job, target);
    attempts.recordFailure(refusal);
    return refusal;
  }

  #complete(job: Job, end: End): RelayOutcome {
    if (end.reason === "cancelled") {
      const message = "the generation was cancelled";
      return this.#fail(job, { type: "cancelled", message, notRun: false });
    }
    job.sink.end(end.reason, end);
    return { ...outcomeOf(job, "end", null), tokens: end.completionTokens };
  }

  #fail(job: Job, refusal: Refusal): RelayOutcome {
    this.#deps.metrics.countRefusal(refusal.type);
    job.sink.fail(refusal);
    return outcomeOf(job, refusal.notRun === true ? "refused" : "failed", refusal);
  }

  #cancel(job: Job, target: EndpointRecord): void {
    const msg = { kind: "cancel", gen: job.gen!, account: job.req.run.account } as const;
    this.#deps.links.get(target.side).then((link) => link.notify(msg)).catch(() => {});
  }

  #makeAttempts(req: RelayRequest): RequestAttempts {
    const { service, account, promptTokens, prefixes } = req.run;
    const { expectedTokens, versions, deadlineMs, ineligibleEndpoints = new Set() } = req;
    return new RequestAttempts({
      placementRequest: { service, account, promptTokens, prefixes, expectedTokens },
      versions,
      ineligibleEndpoints,
      repeatable: true,
      arrivedAtMs: this.#deps.clock.now(),
      deadlineMs,
    });
  }

  #head(req: RelayRequest, gen: GenerationId, target: EndpointRecord): [CompletionHead, string] {
    const wallMs = this.#deps.clock.wall();
    const created = Math.floor(wallMs / 1_000);
    const { format, includeUsage } = req.completion;
    const { service, account } = req.run;
    const signedRef = this.#deps.signer.sign({
      dataCentre: target.dataCentre,
      side: target.side,
      gen,
      account,
      service,
      format,
      created,
      includeUsage,
      expiresMs: wallMs + this.#deps.limits.resumeTtlMs,
    });
    return [{ format, gen, model: service, created }, signedRef];
  }
}

/** Failures that say nothing about the endpoint. */
const NOT_ENDPOINT_FAULTS: ReadonlySet<RefusalReason> = new Set([
  "cancelled",
  "deadline_exceeded",
  "generation_unknown",
  "resume_expired",
  "resume_forbidden",
]);

function makeQuarantineRefusal({ attempts }: Job, retryAfterMs: number): Refusal {
  const message = "the request is quarantined: it crashed the endpoints that ran it";
  return { type: "quarantined", message, notRun: attempts.notRun, retryAfterMs };
}

function outcomeOf(
  { gen, attempts: made }: Job,
  result: RelayOutcome["result"],
  refusal: Refusal | null,
): RelayOutcome {
  const { endpoint, version, count: attempts } = made;
  return { gen, endpoint, version, attempts, tokens: 0, result, refusal };
}

function toAttemptOutcome(res: FollowResult): AttemptOutcome {
  switch (res.type) {
    case "end":
      return { type: "ended", load: res.end.load };
    case "not_run":
      return { type: "not_run", reason: res.reply.reason, load: res.reply.load };
    case "not_sent":
    case "lost":
      return { type: "failed", reason: "link_lost" };
    case "fail":
      return failOutcome(res);
    case "caller_gone":
      return { type: "abandoned" };
  }
}

function failOutcome(
  { refusal, load }: Extract<FollowResult, { type: "fail" }>,
): AttemptOutcome {
  const { type: reason, notRun } = refusal;
  if (notRun === true && load !== undefined) return { type: "not_run", reason, load };
  return NOT_ENDPOINT_FAULTS.has(reason) ? { type: "abandoned" } : { type: "failed", reason };
}

type FailedResult = Exclude<FollowResult, { type: "end" | "caller_gone" }>;

function attemptRefusal(res: FailedResult): Refusal {
  switch (res.type) {
    case "not_run":
      return notRunRefusal(res.reply.reason, res.reply.retryAfterMs);
    case "not_sent":
      return { type: "link_lost", message: "the side could not be reached", notRun: true };
    case "lost":
      return {
        type: "side_lost",
        message: "the connection to the side was lost",
        notRun: "unknown",
      };
    case "fail":
      return res.refusal;
  }
}

function notRunRefusal(type: RefusalReason, retryAfterMs?: number): Refusal {
  return { type, message: "the endpoint refused the request", notRun: true, retryAfterMs };
}
