/**
 * The side process: owns one endpoint.
 *
 * @module
 */
import {
  type Clock,
  createMetrics,
  type EndpointId,
  type GenerationId,
  type Logger,
  type Metrics,
  type RefusalReason,
  type ServiceId,
  type Undo,
  type VersionId,
  versionId,
  type World,
} from "@wisteriapick/core";
import type { ConfigSource } from "@wisteriapick/control";
import { GenerationLogStore } from "@wisteriapick/delivery";
import type { ModelEngine } from "@wisteriapick/platform";
import type { Admission } from "@wisteriapick/policy";
import type {
  EndpointLoad,
  Identity,
  Link,
  LinkStream,
  NotRunReply,
  Resume,
  Run,
  StreamHandler,
} from "@wisteriapick/wire";
import type { LinkRouter } from "./link_router.ts";
import type { GenerationEnd } from "./side_follower.ts";
import { gateReason, type SideState } from "./side_gate.ts";
import { GENERATION_TIMES, type GenerationTimes, SideGeneration } from "./side_generation.ts";
import { TurnBatch } from "./turn_batch.ts";

/** What a side is made of. */
export interface SideOptions {
  readonly identity: Identity;
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly engine: ModelEngine;
  readonly admission: Admission;
  readonly config: ConfigSource;
  readonly router: LinkRouter;
  readonly world: World;
  readonly log: Logger;
  readonly metrics?: Metrics;
  readonly times?: Partial<GenerationTimes>;
  readonly probeMs?: number;
  readonly tickMs?: number;
}

const IGNORE: StreamHandler = { onMessage() {}, onClose() {} };

interface Waiting {
  readonly run: Run;
  readonly stream: LinkStream;
}

/** One endpoint's side. */
export class Side {
  readonly metrics: Metrics;
  readonly #o: SideOptions;
  readonly #clock: Clock;
  readonly #times: GenerationTimes;
  readonly #batch = new TurnBatch();
  readonly #logs = new GenerationLogStore<GenerationId, GenerationEnd>();
  readonly #running = new Map<GenerationId, SideGeneration>();
  readonly #waiting = new Map<GenerationId, Waiting>();
  readonly #undos: Undo[] = [];
  #ready = false;
  #leaving = false;
  #draining = false;
  #version: VersionId | null = null;
  #seq = 0;

  constructor(options: SideOptions) {
    this.#o = options;
    this.#clock = options.world.clock;
    this.#times = { ...GENERATION_TIMES, ...options.times };
    this.metrics = options.metrics ?? createMetrics();
  }

  /** Begins to answer entries and to probe the engine. */
  start(): void {
    const { router, probeMs = 500, tickMs = 20 } = this.#o;
    this.#undos.push(
      router.registerStream("run", (link, msg, stream) => this.#onRun(link, msg, stream)),
      router.registerStream("resume", (link, msg, stream) => this.#onResume(link, msg, stream)),
      router.registerNotify("cancel", (_link, msg) => this.#running.get(msg.gen)?.cancel()),
      this.#clock.setRepeating(probeMs, () => void this.#probe()),
      this.#clock.setRepeating(tickMs, () => this.#tick()),
    );
    void this.#probe();
  }

  get ready(): boolean {
    return this.#ready;
  }

  /** Stops at once, as when the process dies. */
  close(): void {
    for (const undo of this.#undos.splice(0)) undo();
    for (const generation of this.#running.values()) generation.release();
  }

  /** Present load, with the next report number. */
  load(): EndpointLoad {
    const { endpoint, service, config, admission } = this.#o;
    return {
      endpoint,
      service,
      version: this.#version ?? versionId("unknown"),
      revision: config.current().revision,
      ...admission.load(this.#clock.now()),
      leaving: this.#leaving || this.#draining,
      seq: ++this.#seq,
    };
  }

  #state(): SideState {
    return {
      service: this.#o.service,
      dataCentre: this.#o.identity.dataCentre,
      version: this.#version,
      ready: this.#ready,
      leaving: this.#leaving,
      draining: this.#draining,
    };
  }

  #onRun(_link: Link, run: Run, stream: LinkStream): StreamHandler {
    const known = this.#running.get(run.gen);
    if (known !== undefined) return known.attach(stream, 0);
    if (this.#logs.seen(run.gen)) return this.#attachEnded(run.gen, stream, 0);
    const gate = gateReason(this.#state(), this.#o.config.current(), run);
    if (gate !== null) return this.#refuse(run, stream, gate);
    const now = this.#clock.now();
    const decision = this.#o.admission.offer({ ...run, deadlineMs: now + run.remainingMs }, now);
    if (decision.type === "not_run") {
      return this.#refuse(run, stream, decision.reason, decision.retryAfterMs);
    }
    stream.send({ kind: "admitted", load: this.load(), about: run.gen });
    const generation = this.#create(run);
    this.#waiting.set(run.gen, { run, stream });
    if (decision.type === "start") this.#startGeneration(run.gen);
    return generation.attach(stream, 0);
  }

  #create(run: Pick<Run, "gen"> & { account: Run["account"] | null }): SideGeneration {
    const { engine } = this.#o;
    const log = this.#logs.create(run.gen)!;
    const generation = new SideGeneration(run.gen, log, {
      engine,
      clock: this.#clock,
      batch: this.#batch,
      times: this.#times,
      hooks: {
        onToken: (gen, offset, gapMs) => this.#onToken(gen, offset, gapMs),
        onEnd: (gen, how, end) => this.#onEnd(gen, how, end),
        makeEnd: (ev) => ({ ...ev, kind: "end", load: this.load() }),
        makeFail: (refusal) => ({ kind: "fail", refusal, load: this.load() }),
      },
    }, { account: run.account });
    this.#running.set(run.gen, generation);
    return generation;
  }

  #startGeneration(gen: GenerationId): void {
    const waiting = this.#waiting.get(gen);
    if (waiting === undefined) return;
    this.#waiting.delete(gen);
    const { run } = waiting;
    const version = this.#o.config.current().services.get(run.service)?.versions.find((v) =>
      v.id === run.version
    );
    this.#running.get(gen)?.start({ ...run, model: version?.model ?? "", version: run.version });
  }

  #onToken(gen: GenerationId, offset: number, gapMs: number): void {
    const { admission } = this.#o;
    const now = this.#clock.now();
    if (offset === 0) admission.recordFirstToken(gen, gapMs, now);
    admission.recordTokens(gen, 1, offset === 0 ? 0 : gapMs, now);
  }

  #onEnd(gen: GenerationId, how: "done" | "failed" | "cancelled", end: GenerationEnd): void {
    const now = this.#clock.now();
    this.#o.admission.recordEnd(gen, how, now);
    this.#running.delete(gen);
    this.#waiting.delete(gen);
    this.#logs.finish(gen, end, now);
    if (end.kind === "fail") this.metrics.countRefusal(end.refusal.type);
    if (end.kind === "fail" && end.refusal.type === "engine_lost") {
      this.#o.admission.recordEngineCrash(now);
    }
    this.#runAdmission();
  }

  #runAdmission(): void {
    for (const action of this.#o.admission.tick(this.#clock.now())) {
      if (action.type === "start") this.#startGeneration(action.gen);
      else this.#expire(action.gen, action.reason, action.retryAfterMs);
    }
  }

  #expire(gen: GenerationId, reason: RefusalReason, retryAfterMs?: number): void {
    const message = "the request expired in the queue";
    const refusal = { type: reason, message, notRun: true, retryAfterMs } as const;
    this.#running.get(gen)?.finish("failed", { kind: "fail", refusal, load: this.load() });
  }

  #refuse(
    run: Run,
    stream: LinkStream,
    reason: RefusalReason,
    retryAfterMs?: number,
  ): StreamHandler {
    this.metrics.countRefusal(reason);
    const reply: NotRunReply = { kind: "not_run", reason, retryAfterMs, load: this.load() };
    stream.send({ ...reply, about: run.gen });
    stream.end();
    return IGNORE;
  }

  #onResume(_link: Link, msg: Resume, stream: LinkStream): StreamHandler {
    const generation = this.#running.get(msg.gen);
    if (generation !== undefined) {
      if (generation.account !== null && generation.account !== msg.account) {
        return this.#failResume(msg.gen, stream, "resume_forbidden");
      }
      generation.account = msg.account;
      return generation.attach(stream, msg.offset);
    }
    if (this.#logs.seen(msg.gen)) return this.#attachEnded(msg.gen, stream, msg.offset);
    if (!this.#ready) return this.#failResume(msg.gen, stream, "side_not_ready");
    const adopted = this.#create(msg);
    const handler = adopted.attach(stream, msg.offset);
    adopted.adopt();
    return handler;
  }

  #attachEnded(gen: GenerationId, stream: LinkStream, offset: number): StreamHandler {
    const log = this.#logs.get(gen);
    if (log === null) return this.#failResume(gen, stream, "resume_expired");
    const ended = new SideGeneration(gen, log, {
      engine: this.#o.engine,
      clock: this.#clock,
      batch: this.#batch,
      times: this.#times,
      hooks: {
        onToken() {},
        onEnd() {},
        makeEnd: (ev) => ({ ...ev, kind: "end", load: this.load() }),
        makeFail: (refusal) => ({ kind: "fail", refusal }),
      },
    }, { account: null });
    return ended.attach(stream, offset);
  }

  #failResume(gen: GenerationId, stream: LinkStream, type: RefusalReason): StreamHandler {
    this.metrics.countRefusal(type);
    const refusal = { type, message: "the generation cannot be resumed here", notRun: false };
    stream.send({ kind: "fail", refusal, load: this.load(), about: gen });
    stream.end();
    return IGNORE;
  }

  #tick(): void {
    this.#logs.sweep(this.#clock.now());
    this.#runAdmission();
  }

  async #probe(): Promise<void> {
    const { engine, admission } = this.#o;
    try {
      const [load, state] = await Promise.all([engine.load(), engine.state()]);
      admission.recordEngineLoad(load, load.ageMs, this.#clock.now());
      this.#version = versionId(state.version);
      if (!this.#ready) await this.#learn();
      this.#ready = state.ready;
    } catch {
      this.#ready = false;
    }
  }

  /** Adopts the generations that the engine runs, so that a restarted side counts them. */
  async #learn(): Promise<void> {
    for (const held of await this.#o.engine.generations()) {
      if (held.done || this.#logs.seen(held.gen)) continue;
      this.#create({ gen: held.gen, account: null }).adopt();
    }
  }
}
