/**
 * What one attempt at an endpoint shows about the version it ran: failures, first token, gaps.
 *
 * @module
 */
import type { EndpointId, RefusalReason, ServiceId, VersionId } from "@wisteriapick/core";
import { type Outcome, SLOW_GAP_MS } from "@wisteriapick/control";
import type { EndpointLoad } from "@wisteriapick/wire";

/** Load from which evidence counts as taken under load, as a share of the allowance. */
const HIGH_LOAD = 0.8;

/** Reasons that are faults of the endpoint and its version, not of links or of admission. */
const ENDPOINT_FAULTS: ReadonlySet<RefusalReason> = new Set([
  "engine_failed",
  "engine_lost",
  "upstream_failed",
]);

/** What an attempt is about. */
export interface AttemptSubject {
  readonly service: ServiceId;
  readonly version: VersionId;
  readonly route: string;
  readonly endpoint: EndpointId;
}

/** Gathers the evidence of one attempt. */
export class AttemptEvidence {
  readonly #subject: AttemptSubject;
  readonly #startMs: number;
  #version: VersionId;
  #loadLevel: Outcome["loadLevel"] = "low";
  #admitted = false;
  #firstTokenMs: number | undefined;
  #lastMs: number;
  #gaps = 0;
  #slowGaps = 0;

  constructor(subject: AttemptSubject, startMs: number) {
    this.#subject = subject;
    this.#version = subject.version;
    this.#startMs = startMs;
    this.#lastMs = startMs;
  }

  /** Records the side's admission; its load names the version that runs. */
  onAdmitted(load: EndpointLoad): void {
    this.#admitted = true;
    this.#version = load.version;
    this.#loadLevel = load.running >= HIGH_LOAD * load.allowance ? "high" : "low";
  }

  /** Records tokens from `offset` on; returns the time since the start or since the tokens before. */
  onTokens(offset: number, nowMs: number): number {
    const sinceMs = nowMs - this.#lastMs;
    this.#lastMs = nowMs;
    if (offset === 0) {
      this.#firstTokenMs = sinceMs;
      return sinceMs;
    }
    this.#gaps++;
    if (sinceMs > SLOW_GAP_MS) this.#slowGaps++;
    return sinceMs;
  }

  /** The outcome, or `null` where the attempt says nothing about the version. */
  finish(failure: RefusalReason | null): Outcome | null {
    const failed = failure !== null && ENDPOINT_FAULTS.has(failure);
    if (!this.#admitted || (failure !== null && !failed)) return null;
    const { service, route, endpoint } = this.#subject;
    return {
      service,
      version: this.#version,
      route,
      endpoint,
      loadLevel: this.#loadLevel,
      failed,
      firstTokenMs: this.#firstTokenMs,
      gaps: this.#gaps,
      slowGaps: this.#slowGaps,
    };
  }

  /** Time since the attempt began. */
  elapsedMs(nowMs: number): number {
    return nowMs - this.#startMs;
  }
}
