/**
 * The simplest admission: a fixed number of concurrent requests and a queue of fixed length.
 *
 * @module
 */
import type { GenerationId } from "@wisteriapick/core";
import {
  Admission,
  type AdmissionAction,
  type AdmissionDecision,
  type AdmissionRequest,
  type LoadView,
} from "@wisteriapick/policy";

/** Admits a fixed number of concurrent requests. The default for plain services and embedders, and for tests. */
export class FixedAdmission extends Admission {
  readonly #slots: number;
  readonly #queueLength: number;
  readonly #running = new Set<GenerationId>();
  readonly #queue: AdmissionRequest[] = [];

  constructor({ slots = 8, queueLength = 32 }: { slots?: number; queueLength?: number } = {}) {
    super();
    this.#slots = slots;
    this.#queueLength = queueLength;
  }

  offer(req: AdmissionRequest, nowMs: number): AdmissionDecision {
    if (req.deadlineMs <= nowMs) return { type: "not_run", reason: "deadline_exceeded" };
    if (this.#running.size < this.#slots && this.#queue.length === 0) {
      this.#running.add(req.gen);
      return { type: "start" };
    }
    if (this.#queue.length >= this.#queueLength) {
      return { type: "not_run", reason: "queue_full", retryAfterMs: 1_000 };
    }
    this.#queue.push(req);
    return { type: "queued" };
  }

  recordTokens(): void {}
  recordFirstToken(): void {}
  recordEngineLoad(): void {}
  recordEngineCrash(): void {}

  recordEnd(gen: GenerationId): void {
    this.#running.delete(gen);
    const at = this.#queue.findIndex((req) => req.gen === gen);
    if (at >= 0) this.#queue.splice(at, 1);
  }

  tick(nowMs: number): AdmissionAction[] {
    const actions: AdmissionAction[] = [];
    for (const req of this.#queue.filter((queued) => queued.deadlineMs <= nowMs)) {
      this.recordEnd(req.gen);
      actions.push({ type: "not_run", gen: req.gen, reason: "deadline_exceeded" });
    }
    while (this.#running.size < this.#slots && this.#queue.length > 0) {
      const req = this.#queue.shift()!;
      this.#running.add(req.gen);
      actions.push({ type: "start", gen: req.gen });
    }
    return actions;
  }

  load(): Pick<
    LoadView,
    "running" | "queued" | "allowance" | "kvUsedTokens" | "kvTotalTokens" | "expectedWaitMs"
  > {
    return {
      running: this.#running.size,
      queued: this.#queue.length,
      allowance: this.#slots,
      kvUsedTokens: 0,
      kvTotalTokens: 0,
      expectedWaitMs: 0,
    };
  }
}
