/**
 * Relays one generation: chooses sides and runs it again elsewhere where nothing was delivered.
 *
 * @module
 */
import type {
  Clock,
  EndpointId,
  GenerationId,
  Metrics,
  Refusal,
  RefusalReason,
  VersionId,
} from "@wisteriapick/core";
import {
  type AnswerHead,
  type CompletionRequest,
  type ResumeSigner,
  TokenCursor,
} from "@wisteriapick/delivery";
import {
  type AttemptOutcome,
  type Placement,
  type PlacementRequest,
  Quarantine,
} from "@wisteriapick/policy";
import type { End, EndpointLoad, NotRunReply, Run } from "@wisteriapick/wire";
import type { Directory, DirectoryEntry } from "./directory.ts";
import { type FollowerResult, followGeneration, type FollowLimits } from "./entry_follower.ts";
import type { AnswerSink } from "./entry_sinks.ts";
import type { LinkSource } from "./link_source.ts";

/** Bounds of {@link GenerationRelay}. */
export interface RelayLimits extends FollowLimits {
  /** Endpoints tried for one request. */
  readonly maxHops: number;
  /** Validity of resume ids. */
  readonly resumeTtlMs: number;
}

/** Bounds for production use. */
export const RELAY_LIMITS: RelayLimits = {
  maxHops: 3,
  resumeWindowMs: 10_000,
  undeliveredWindowMs: 1_000,
  resumeBackoffMs: 100,
  silenceMs: 5_000,
  resumeTtlMs: 600_000,
};

/** Parts that a relay works with. */
export interface RelayDeps {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly links: LinkSource;
  readonly placement: Placement;
  readonly signer: ResumeSigner;
  readonly metrics: Metrics;
  readonly limits: RelayLimits;
  readonly makeGenerationId: () => GenerationId;
  /** The version that an endpoint is known to run. */
  readonly versionOf: (endpoint: EndpointId) => VersionId | null;
  /** Requests that crash endpoints, as far as this entry knows. */
  readonly quarantine?: Quarantine;
  /** Told of each load that an answer carries. */
  readonly noteLoad: (load: EndpointLoad) => void;
}

/** One request. */
export interface RelayRequest {
  /** The parts of the message that stay the same for each attempt. */
  readonly run: Omit<Run, "kind" | "gen" | "version" | "attempt" | "remainingMs">;
  readonly versions: readonly VersionId[];
  readonly completion: CompletionRequest;
  readonly expectedTokens: number;
  /** Monotonic time after which it must not start. */
  readonly deadlineMs: number;
  /** Aborted when the caller is gone. */
  readonly gone: AbortSignal;
}

/** How a request ended; for logs and evidence. */
export interface RelayOutcome {
  readonly gen: GenerationId | null;
  readonly endpoint: EndpointId | null;
  readonly version: VersionId | null;
  readonly attempts: number;
  /** Tokens of a whole answer; 0 otherwise. */
  readonly tokens: number;
  readonly result: "end" | "refused" | "failed" | "caller_gone";
  readonly refusal: Refusal | null;
}

/** Relays generations for one entry. */
export class GenerationRelay {
  readonly #deps: RelayDeps;
  readonly #quarantine: Quarantine;

  constructor(deps: RelayDeps) {
    this.#deps = deps;
    this.#quarantine = deps.quarantine ?? new Quarantine();
  }

  /** Runs a request and gives its answer to the sink. */
  async run(req: RelayRequest, sink: AnswerSink): Promise<RelayOutcome> {
    const hops = new Hops(req);
    while (hops.attempts < this.#deps.limits.maxHops) {
      if (req.gone.aborted) return hops.outcome("caller_gone", null);
      const now = this.#deps.clock.now();
      if (now >= req.deadlineMs) return hops.refuse(sink, "deadline_exceeded", this.#deps);
      const quarantinedMs = this.#quarantine.remainingMs(req.run.digest, now);
      if (quarantinedMs > 0) return hops.fail(sink, quarantined(hops, quarantinedMs), this.#deps);
      const place = hops.placement();
      const endpoint = this.#deps.placement.choose(place, now);
      const target = endpoint === null ? undefined : this.#deps.directory.get(endpoint);
      if (target === undefined) return hops.refuse(sink, "no_endpoint", this.#deps);
      const done = await this.#attempt(req, sink, hops, target, place);
      if (done !== null) return done;
    }
    return hops.refuse(sink, "hops_exhausted", this.#deps);
  }

  async #attempt(
    req: RelayRequest,
    sink: AnswerSink,
    hops: Hops,
    target: DirectoryEntry,
    place: PlacementRequest,
  ): Promise<RelayOutcome | null> {
    const { clock, placement, limits, links } = this.#deps;
    const gen = this.#deps.makeGenerationId();
    const known = this.#deps.versionOf(target.endpoint);
    const version = known !== null && req.versions.includes(known) ? known : req.versions[0]!;
    const startMs = clock.now();
    hops.begin(gen, target.endpoint, version);
    sink.begin(...this.#head(req, gen, target));
    placement.recordSent(target.endpoint, place, startMs);
    const record = (outcome: AttemptOutcome) =>
      placement.recordOutcome(target.endpoint, outcome, clock.now());
    let lastMs = startMs;
    const run: Run = {
      ...req.run,
      kind: "run",
      gen,
      version,
      attempt: hops.attempts,
      suspectCrashes: this.#quarantine.crashes(req.run.digest, startMs),
      remainingMs: Math.max(0, req.deadlineMs - startMs),
    };
    const res = await followGeneration(target.side, run, {
      clock,
      links,
      limits,
      sink,
      cursor: new TokenCursor(0),
      gone: req.gone,
      onAdmitted: (load) => {
        this.#deps.noteLoad(load);
        record({ type: "admitted", load });
      },
      onTokens: (offset) => {
        const now = clock.now();
        if (offset === 0) record({ type: "first_token", waitMs: now - startMs });
        else record({ type: "gap", gapMs: now - lastMs });
        lastMs = now;
      },
    });
    record(attemptOutcome(res));
    if (res.type === "fail" && res.suspects !== undefined) {
      this.#quarantine.merge(res.suspects, clock.now());
    }
    if (res.type === "not_run") this.#noteMismatch(req, hops, target.endpoint, res.reply);
    return this.#settle(req, sink, hops, target, res);
  }

  /** An endpoint that was asked for the wrong version may be asked again for the one it runs. */
  #noteMismatch(
    req: RelayRequest,
    hops: Hops,
    endpoint: EndpointId,
    { reason, load }: NotRunReply,
  ): void {
    this.#deps.noteLoad(load);
    if (reason === "version_mismatch" && req.versions.includes(load.version)) {
      hops.allow(endpoint);
    }
  }

  /** Ends the request, or returns `null` where the next endpoint is to be tried. */
  #settle(
    req: RelayRequest,
    sink: AnswerSink,
    hops: Hops,
    target: DirectoryEntry,
    res: FollowerResult,
  ): RelayOutcome | null {
    if (res.type === "end") return this.#finish(sink, hops, res.end);
    if (res.type === "caller_gone") {
      // Nobody can ask for an answer whose id no caller has seen.
      if (!sink.committed) this.#cancel(req, hops, target);
      return hops.outcome("caller_gone", null);
    }
    const refusal = attemptRefusal(res);
    if (sink.committed) return hops.fail(sink, { ...refusal, notRun: false }, this.#deps);
    hops.failed(refusal);
    if (res.type === "lost") this.#cancel(req, hops, target);
    if (!mayRunElsewhere(refusal)) return hops.fail(sink, refusal, this.#deps);
    this.#deps.metrics.countRetry(refusal.type);
    return null;
  }

  #finish(sink: AnswerSink, hops: Hops, end: End): RelayOutcome {
    if (end.reason === "cancelled") {
      const message = "the generation was cancelled";
      return hops.fail(sink, { type: "cancelled", message, notRun: false }, this.#deps);
    }
    sink.end(end.reason, end);
    return { ...hops.outcome("end", null), tokens: end.completionTokens };
  }

  #cancel(req: RelayRequest, hops: Hops, target: DirectoryEntry): void {
    const msg = { kind: "cancel", gen: hops.gen!, account: req.run.account } as const;
    this.#deps.links.get(target.side).then((link) => link.notify(msg)).catch(() => {});
  }

  #head(req: RelayRequest, gen: GenerationId, target: DirectoryEntry): [AnswerHead, string] {
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

/** Reasons that would be the same at every endpoint. */
const FINAL: ReadonlySet<RefusalReason> = new Set([
  "invalid_request",
  "request_too_large",
  "deadline_exceeded",
  "quarantined",
  "cancelled",
]);

function quarantined(hops: Hops, retryAfterMs: number): Refusal {
  const message = "this request crashed the endpoints that ran it";
  return { type: "quarantined", message, notRun: hops.notRun, retryAfterMs };
}

function mayRunElsewhere(refusal: Refusal): boolean {
  return !FINAL.has(refusal.type);
}

function attemptOutcome(res: FollowerResult): AttemptOutcome {
  switch (res.type) {
    case "end":
      return { type: "ended", load: res.end.load };
    case "not_run":
      return { type: "not_run", reason: res.reply.reason, load: res.reply.load };
    case "not_sent":
    case "lost":
      return { type: "failed", reason: "link_lost" };
    case "fail":
      return { type: "failed", reason: res.refusal.type };
    case "caller_gone":
      return { type: "abandoned" };
  }
}

function attemptRefusal(res: Exclude<FollowerResult, { type: "end" | "caller_gone" }>): Refusal {
  switch (res.type) {
    case "not_run": {
      const { reason, retryAfterMs } = res.reply;
      return { type: reason, message: "the endpoint refused", notRun: true, retryAfterMs };
    }
    case "not_sent":
      return { type: "link_lost", message: "the side could not be reached", notRun: true };
    case "lost":
      return { type: "side_lost", message: "the side was lost", notRun: "unknown" };
    case "fail":
      return res.refusal;
  }
}

/** The attempts of one request. */
class Hops {
  attempts = 0;
  gen: GenerationId | null = null;
  readonly #req: RelayRequest;
  readonly #excluded = new Set<EndpointId>();
  #endpoint: EndpointId | null = null;
  #version: VersionId | null = null;
  #last: Refusal | null = null;
  /** What is known of all attempts together. */
  notRun: Refusal["notRun"] = true;

  constructor(req: RelayRequest) {
    this.#req = req;
  }

  placement(): PlacementRequest {
    const { run, versions, expectedTokens } = this.#req;
    return {
      service: run.service,
      account: run.account,
      versions,
      promptTokens: run.promptTokens,
      prefixes: run.prefixes,
      expectedTokens,
      excluded: this.#excluded,
    };
  }

  begin(gen: GenerationId, endpoint: EndpointId, version: VersionId): void {
    this.attempts++;
    this.gen = gen;
    this.#endpoint = endpoint;
    this.#version = version;
    this.#excluded.add(endpoint);
  }

  /** Lets an endpoint be tried again. */
  allow(endpoint: EndpointId): void {
    this.#excluded.delete(endpoint);
  }

  failed(refusal: Refusal): void {
    this.#last = refusal;
    if (refusal.notRun === false) this.notRun = false;
    else if (refusal.notRun === "unknown" && this.notRun === true) this.notRun = "unknown";
  }

  /** Ends the request because no further endpoint is tried; says why the last one did not answer. */
  refuse(sink: AnswerSink, type: RefusalReason, deps: RelayDeps): RelayOutcome {
    const last = this.#last;
    const message = last === null ? MESSAGES[type] ?? type : `${MESSAGES[type]}: ${last.message}`;
    const reason = last !== null && type !== "deadline_exceeded" ? last.type : type;
    const retryAfterMs = last?.retryAfterMs ?? (type === "no_endpoint" ? 1_000 : undefined);
    return this.fail(sink, { type: reason, message, notRun: this.notRun, retryAfterMs }, deps);
  }

  fail(sink: AnswerSink, refusal: Refusal, deps: RelayDeps): RelayOutcome {
    deps.metrics.countRefusal(refusal.type);
    sink.fail(refusal);
    return this.outcome(refusal.notRun === true ? "refused" : "failed", refusal);
  }

  outcome(result: RelayOutcome["result"], refusal: Refusal | null): RelayOutcome {
    return {
      gen: this.gen,
      endpoint: this.#endpoint,
      version: this.#version,
      attempts: this.attempts,
      tokens: 0,
      result,
      refusal,
    };
  }
}

const MESSAGES: Partial<Record<RefusalReason, string>> = {
  deadline_exceeded: "the deadline passed before an endpoint started the request",
  no_endpoint: "no endpoint can take the request at present",
  hops_exhausted: "no endpoint that was tried could answer the request",
};
