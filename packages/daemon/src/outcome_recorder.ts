/**
 * Turns one attempt into evidence for a move between versions.
 *
 * @module
 */
import type { EndpointId, RefusalReason, ServiceId, VersionId } from "@wisteriapick/core";
import type { RequestOutcome } from "@wisteriapick/control";
import { SLOW_GAP_MS } from "@wisteriapick/policy";
import type { EndpointLoad } from "@wisteriapick/wire";

/** Share of an endpoint's allowance from which its load counts as high. */
const HIGH_LOAD = 0.8;

/** Failures that are the endpoint's own fault. */
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

/** Counts of one attempt. */
export class OutcomeRecorder {
  readonly #subject: AttemptSubject;
  #high = false;
  #firstTokenMs: number | undefined;
  #gaps = 0;
  #slowGaps = 0;

  constructor(subject: AttemptSubject) {
    this.#subject = subject;
  }

  admitted(load: EndpointLoad): void {
    this.#high = load.running >= HIGH_LOAD * load.allowance;
  }

  first(waitMs: number): void {
    this.#firstTokenMs = waitMs;
  }

  gap(gapMs: number): void {
    this.#gaps++;
    if (gapMs > SLOW_GAP_MS) this.#slowGaps++;
  }

  /** The evidence of an attempt that was answered, whole or in error. */
  answered({ failed }: { failed: boolean }): RequestOutcome {
    return this.#make(failed);
  }

  /** The evidence of a failure, or `null` where it is not the endpoint's fault. */
  failure(reason: RefusalReason): RequestOutcome | null {
    return ENDPOINT_FAULTS.has(reason) ? this.#make(true) : null;
  }

  #make(failed: boolean): RequestOutcome {
    return {
      ...this.#subject,
      loadLevel: this.#high ? "high" : "low",
      failed,
      firstTokenMs: this.#firstTokenMs,
      gaps: this.#gaps,
      slowGaps: this.#slowGaps,
    };
  }
}
