/**
 * Simulated side: the admission of the product in front of a simulated engine.
 *
 * @module
 */
import type { Clock, GenerationId, RefusalReason, VersionId } from "@wisteriapick/core";
import {
  type AdmissionRequest,
  type LoadView,
  Quarantine,
  SideAdmission,
  type SideAdmissionOptions,
} from "@wisteriapick/policy";
import type { ModelFinish, StepResult } from "@wisteriapick/standins";
import type { Fleet } from "./fleet.ts";
import type { EndpointSpec, Job } from "./types.ts";

/** Callbacks of a side to the entry that sent a request. */
export interface SideClient {
  admitted(load: LoadView): void;
  notRun(reason: RefusalReason, retryAfterMs: number | undefined, load: LoadView): void;
  token(offset: number): void;
  ended(load: LoadView): void;
  failed(load: LoadView): void;
}

interface HeldGeneration {
  readonly job: Job;
  readonly req: AdmissionRequest;
  readonly client: SideClient;
  readonly sentAtMs: number;
  isStarted: boolean;
  lastTokenAtMs: number;
}

// While requests are queued, the queue is checked at this interval even without any event of the engine.
const QUEUE_POLL_INTERVAL_MS = 20;

/** Admits requests, runs them at the engine and reports their progress to the entries. */
export class SimSide {
  readonly spec: EndpointSpec;
  readonly #clock: Clock;
  readonly #fleet: Fleet;
  readonly #options: SideAdmissionOptions;
  readonly #held = new Map<GenerationId, HeldGeneration>();
  readonly quarantine = new Quarantine();
  #admission: SideAdmission;
  #seq = 0;
  #isTickArmed = false;
  #isLeaving = false;

  constructor(clock: Clock, fleet: Fleet, spec: EndpointSpec, options: SideAdmissionOptions) {
    this.spec = spec;
    this.#clock = clock;
    this.#fleet = fleet;
    this.#options = options;
    this.#admission = this.#createAdmission();
  }

  get admission(): SideAdmission {
    return this.#admission;
  }

  get leaving(): boolean {
    return this.#isLeaving;
  }

  offer(job: Job, req: AdmissionRequest, client: SideClient): void {
    const now = this.#clock.now();
    if (!this.#fleet.get(this.spec.endpoint).alive) {
      client.notRun("engine_failed", undefined, this.load());
      return;
    }
    const decision = this.#admission.offer(req, now);
    if (decision.type === "not_run") {
      client.notRun(decision.reason, decision.retryAfterMs, this.load());
      return;
    }
    this.#held.set(req.gen, {
      job,
      req,
      client,
      sentAtMs: now,
      isStarted: false,
      lastTokenAtMs: now,
    });
    client.admitted(this.load());
    if (decision.type === "start") this.#start(req.gen);
    else this.#armTick();
  }

  /** Returns whether the side holds a generation; an entry queries this after its link was dead. */
  holds(gen: GenerationId): boolean {
    return this.#held.has(gen);
  }

  step(step: StepResult): void {
    const now = this.#clock.now();
    for (let i = 0; i < step.gens.length; i++) {
      const gen = step.gens[i]!;
      const held = this.#held.get(gen)!;
      this.#admission.recordTokens(gen, 1, now - held.lastTokenAtMs, now);
      held.lastTokenAtMs = now;
      held.client.token(step.produced[i]! - 1);
    }
    this.#tick();
  }

  finish(gen: GenerationId, finish: ModelFinish): void {
    const held = this.#held.get(gen);
    if (held === undefined) return;
    this.#held.delete(gen);
    const isCompleted = finish === "stop" || finish === "length";
    if (finish !== "crashed") {
      this.#admission.recordEnd(gen, isCompleted ? "done" : "failed", this.#clock.now());
    }
    if (isCompleted) held.client.ended(this.load());
    else held.client.failed(this.load());
    this.#tick();
  }

  /** Passes the current load report of the engine to the admission. */
  fetchLoad(): void {
    const engine = this.#fleet.get(this.spec.endpoint);
    if (!engine.alive) return;
    const load = engine.load();
    this.#admission.recordEngineLoad(load, load.ageMs, this.#clock.now());
  }

  crashed(): void {
    this.#admission.recordEngineCrash(this.#clock.now());
    this.#tick();
  }

  /** Restarts the side process. Only the generations that run at the engine are recovered. */
  restart(): void {
    this.#admission = this.#createAdmission();
    this.#seq = 0;
    const now = this.#clock.now();
    for (const { gen, produced } of this.#fleet.get(this.spec.endpoint).generations()) {
      const held = this.#held.get(gen);
      if (held !== undefined) this.#admission.adopt(held.req, produced, now);
    }
    for (const [gen, held] of this.#held) {
      if (held.isStarted) continue;
      this.#held.delete(gen);
      held.client.notRun("side_not_ready", undefined, this.load());
    }
  }

  setLeaving(leaving: boolean): void {
    this.#isLeaving = leaving;
    this.#admission.setDraining(leaving);
  }

  load(): LoadView {
    return {
      endpoint: this.spec.endpoint,
      version: "v1" as VersionId,
      ...this.#admission.load(this.#clock.now()),
      leaving: this.#isLeaving,
      seq: ++this.#seq,
    };
  }

  #createAdmission(): SideAdmission {
    const admission = new SideAdmission({
      ...this.#options,
      name: this.spec.endpoint,
      quarantine: this.quarantine,
    });
    const { kvTotalTokens } = this.#fleet.get(this.spec.endpoint);
    const report = { running: 0, waiting: 0, kvUsedTokens: 0, kvTotalTokens, preemptions: 0 };
    admission.recordEngineLoad(report, 0, this.#clock.now());
    return admission;
  }

  #start(gen: GenerationId): void {
    const held = this.#held.get(gen)!;
    held.isStarted = true;
    held.lastTokenAtMs = this.#clock.now();
    this.#fleet.submit(this.spec.endpoint, gen, held.job, this.#admission.enginePriority(gen));
  }

  #tick(): void {
    for (const action of this.#admission.tick(this.#clock.now())) {
      const held = this.#held.get(action.gen);
      if (held === undefined) continue;
      if (action.type === "start") {
        this.#start(action.gen);
        continue;
      }
      this.#held.delete(action.gen);
      held.client.notRun(action.reason, action.retryAfterMs, this.load());
    }
  }

  #armTick(): void {
    if (this.#isTickArmed) return;
    this.#isTickArmed = true;
    this.#clock.setTimer(QUEUE_POLL_INTERVAL_MS, () => {
      this.#isTickArmed = false;
      this.#tick();
      if ([...this.#held.values()].some((h) => !h.isStarted)) this.#armTick();
    });
  }
}
