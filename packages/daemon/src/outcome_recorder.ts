/**
 * Turns attempts into evidence for a move between versions.
 *
 * @module
 */
import type { EndpointId, RefusalReason, ServiceId, VersionId } from "@wisteriapick/core";
import type { RequestOutcome } from "@wisteriapick/control";
import { SLOW_GAP_MS } from "@wisteriapick/policy";
import type { EndpointLoad } from "@wisteriapick/wire";

/** Fraction of an endpoint's allowance from which its load counts as high. */
const HIGH_LOAD_FRACTION = 0.8;

/** Failures that the endpoint itself causes. */
const ENDPOINT_FAULTS: ReadonlySet<RefusalReason> = new Set([
  "engine_failed",
  "engine_lost",
  "upstream_failed",
]);

/** What an attempt's outcome is evidence about. */
export interface AttemptSubject {
  readonly service: ServiceId;
  readonly version: VersionId;
  readonly route: string;
  readonly endpoint: EndpointId;
}

/** Records the load and timings of one attempt. */
export class OutcomeRecorder {
  readonly #subject: AttemptSubject;
  #isHighLoad = false;
  #firstTokenMs: number | undefined;
  #gaps = 0;
  #slowGaps = 0;

  constructor(subject: AttemptSubject) {
    this.#subject = subject;
  }

  recordAdmitted(load: EndpointLoad): void {
    this.#isHighLoad = load.running >= HIGH_LOAD_FRACTION * load.allowance;
  }

  recordFirstToken(waitMs: number): void {
    this.#firstTokenMs = waitMs;
  }

  recordGap(gapMs: number): void {
    this.#gaps++;
    if (gapMs > SLOW_GAP_MS) this.#slowGaps++;
  }

  /** The evidence of an attempt that got a response, complete or in error. */
  makeResponseOutcome({ failed }: { failed: boolean }): RequestOutcome {
    return this.#makeOutcome(failed);
  }

  /** The evidence of a failure, or `null` where the endpoint did not cause it. */
  makeFailureOutcome(reason: RefusalReason): RequestOutcome | null {
    return ENDPOINT_FAULTS.has(reason) ? this.#makeOutcome(true) : null;
  }

  #makeOutcome(failed: boolean): RequestOutcome {
    return {
      ...this.#subject,
      loadLevel: this.#isHighLoad ? "high" : "low",
      failed,
      firstTokenMs: this.#firstTokenMs,
      gaps: this.#gaps,
      slowGaps: this.#slowGaps,
    };
  }
}
