/**
 * The side process: owns one endpoint.
 *
 * @module
 */
import {
  type Clock,
  createMetrics,
  type EndpointId,
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
import type { GenerationLogStoreOptions } from "@wisteriapick/delivery";
import type { ModelEngine } from "@wisteriapick/clients";
import type { Admission, AdmissionAction, Quarantine } from "@wisteriapick/policy";
import type { EndpointLoad, Identity, LoadReport, SuspectReport } from "@wisteriapick/wire";
import type { Dispatcher } from "undici";
import type { LinkRouter } from "./link_router.ts";
import { SideCalls } from "./side_calls.ts";
import type { SideContext } from "./side_context.ts";
import { gateReason } from "./side_gate.ts";
import { GENERATION_TIMES, type GenerationTimes } from "./side_generation.ts";
import { SideGenerations } from "./side_generations.ts";
import { type ReadHighestFence, SideOrders } from "./side_orders.ts";

/** What a side is made of. It has an `engine` or, beside a plain service, an `origin`. */
export interface SideOptions {
  readonly identity: Identity;
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly engine?: ModelEngine;
  /** Base of a plain service's endpoint, for example `http://127.0.0.1:7300`. */
  readonly origin?: string;
  /** What carries requests to a plain service; connections of `undici` by default. */
  readonly dispatcher?: Dispatcher;
  readonly admission: Admission;
  readonly config: ConfigSource;
  readonly router: LinkRouter;
  readonly world: World;
  readonly log: Logger;
  readonly metrics?: Metrics;
  readonly times?: Partial<GenerationTimes>;
  readonly logs?: GenerationLogStoreOptions;
  readonly readHighestFence?: ReadHighestFence;
  /** The admission's record of requests that crash endpoints, which entries are told of after a crash. */
  readonly quarantine?: Quarantine;
  /** Interval of probes of the endpoint. */
  readonly probeIntervalMs?: number;
  readonly tickIntervalMs?: number;
  /** Interval at which entries are told of a changed load. */
  readonly loadIntervalMs?: number;
}

/** Probes in a row that must fail before the endpoint counts as down; one may be lost by chance. */
const MAX_FAILED_PROBES = 3;
const PROBE_TIMEOUT_MS = 1_000;
/** Cache events of one report at most; later ones say more about the present. */
const MAX_CACHE_EVENTS = 256;
/** Suspects of one message at most; those of the latest crash are the last. */
const MAX_SUSPECTS = 256;

/**
 * One endpoint's side.
 *
 * @example
 * ```ts
 * const side = new Side({ identity, endpoint, service, engine, admission, config, router, world, log });
 * side.start();
 * await side.drain();
 * ```
 */
export class Side {
  readonly metrics: Metrics;
  readonly #o: SideOptions;
  readonly #clock: Clock;
  readonly #ctx: SideContext;
  readonly #generations: SideGenerations | null = null;
  readonly #calls: SideCalls | null = null;
  readonly #orders: SideOrders | null = null;
  readonly #undos: Undo[] = [];
  #isReady = false;
  #isProbing = false;
  #failedProbes = 0;
  #isLeaving = false;
  #isDraining = false;
  #version: VersionId | null = null;
  #loadSeq = 0;
  #cacheSeq = 0;
  #lastSentLoad = "";

  constructor(options: SideOptions) {
    this.#o = options;
    this.#clock = options.world.clock;
    this.metrics = options.metrics ?? createMetrics();
    this.#ctx = {
      clock: this.#clock,
      config: options.config,
      admission: options.admission,
      metrics: this.metrics,
      log: options.log,
      load: () => this.load(),
      gate: (req) => this.#gate(req),
      runAdmission: () => this.#runAdmission(),
    };
    const { engine, origin, dispatcher, endpoint, readHighestFence: learnFence, world, logs } =
      options;
    if (engine !== undefined) {
      const times = { ...GENERATION_TIMES, ...options.times };
      const onEngineLost = () => this.#onEngineLost();
      const suspects = () => this.#suspects();
      this.#generations = new SideGenerations(this.#ctx, {
        engine,
        times,
        world,
        service: options.service,
        logs,
        onEngineLost,
        suspects,
      });
      const onOrderApplied = () => void this.#probe();
      this.#orders = new SideOrders({
        endpoint,
        engine,
        clock: this.#clock,
        readHighestFence: learnFence,
        onOrderApplied: onOrderApplied,
      });
    }
    if (origin !== undefined) this.#calls = new SideCalls(this.#ctx, { origin, world, dispatcher });
  }

  /** Begins to answer entries and to probe the endpoint. */
  start(): void {
    const {
      router,
      probeIntervalMs: probeMs = 500,
      tickIntervalMs: tickMs = 20,
      loadIntervalMs: loadMs = 1_000,
    } = this.#o;
    const generations = this.#generations;
    if (generations !== null) {
      this.#undos.push(
        router.registerStream("run", (_link, msg, stream) => generations.onRun(msg, stream)),
        router.registerStream(
          "resume",
          (_link, msg, stream) => generations.onResume(msg, stream, this.#isReady),
        ),
        router.registerNotify("cancel", (_link, msg) => generations.cancel(msg.gen)),
      );
    }
    const calls = this.#calls;
    if (calls !== null) {
      this.#undos.push(
        router.registerStream("call", (_link, msg, stream) => calls.onCall(msg, stream)),
      );
    }
    const orders = this.#orders;
    if (orders !== null) {
      this.#undos.push(
        router.registerStream("order", (_link, msg, stream) => orders.onOrder(msg, stream)),
        () => orders.stop(),
      );
      void orders.loadHighestFence();
    }
    this.#undos.push(
      this.#clock.setRepeating(probeMs, () => void this.#probe()),
      this.#clock.setRepeating(tickMs, () => this.#tick()),
      this.#clock.setRepeating(loadMs, () => this.#sendLoad()),
      this.#o.config.registerListener(() => this.#sendLoad()),
    );
    void this.#probe();
  }

  /** Whether new work is taken, apart from what configuration and admission say. */
  get ready(): boolean {
    return this.#isReady && !this.#isDraining;
  }

  /** Says whether the platform will take the host away soon. Entries are told at once. */
  setLeaving(leaving: boolean): void {
    if (this.#isLeaving === leaving) return;
    this.#isLeaving = leaving;
    this.#sendLoad();
  }

  /** Planned stop: refuses new work and resolves when all running work has been delivered. */
  async drain({ pollMs = 20 }: { pollMs?: number } = {}): Promise<void> {
    this.#isDraining = true;
    this.#sendLoad();
    while (!this.#isIdle()) await this.#clock.sleep(pollMs);
    this.close();
  }

  /** Stops at once, as when the process dies. */
  close(): void {
    for (const undo of this.#undos.splice(0)) undo();
    this.#generations?.release();
    void this.#calls?.close();
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
      leaving: this.#isLeaving || this.#isDraining,
      seq: ++this.#loadSeq,
    };
  }

  #isIdle(): boolean {
    return (this.#generations?.isIdle ?? true) && (this.#calls?.isIdle ?? true);
  }

  #gate(req: { service: ServiceId; version: VersionId }): RefusalReason | null {
    const state = {
      service: this.#o.service,
      dataCentre: this.#o.identity.dataCentre,
      version: this.#version,
      ready: this.#isReady && this.#o.config.ready(),
      leaving: this.#isLeaving,
      draining: this.#isDraining,
    };
    return gateReason(state, this.#o.config.current(), req);
  }

  #runAdmission(): void {
    for (const action of this.#o.admission.tick(this.#clock.now())) this.#perform(action);
  }

  #perform(action: AdmissionAction): void {
    if (this.#generations?.perform(action)) return;
    this.#calls?.perform(action);
  }

  #tick(): void {
    this.#generations?.sweep();
    this.#runAdmission();
  }

  /** Tells the entries that are connected, if anything but the report number changed. */
  #sendLoad({ suspects, cache }: Pick<LoadReport, "suspects" | "cache"> = {}): void {
    const load = this.load();
    const text = JSON.stringify({ ...load, seq: 0 });
    if (text === this.#lastSentLoad && suspects === undefined && cache === undefined) return;
    this.#lastSentLoad = text;
    for (const link of this.#o.router.links) {
      if (link.peer.role === "entry") link.notify({ kind: "load", load, suspects, cache });
    }
  }

  async #probe(): Promise<void> {
    if (this.#isProbing) return;
    this.#isProbing = true;
    const isUp = await this.#probeOnce().catch(() => false);
    this.#isProbing = false;
    this.#failedProbes = isUp ? 0 : this.#failedProbes + 1;
    if (this.#failedProbes === MAX_FAILED_PROBES && this.#isReady) this.#onEngineLost();
  }

  async #probeOnce(): Promise<boolean> {
    const { engine, config, endpoint, service } = this.#o;
    if (engine === undefined) {
      const view = config.current();
      this.#version = view.endpoints.get(endpoint)?.version ??
        view.services.get(service)?.activeVersion ?? null;
      const isUp = await this.#calls!.probe(PROBE_TIMEOUT_MS);
      if (isUp) this.#isReady = true;
      return isUp;
    }
    const [load, state] = await Promise.all([engine.load(), engine.state()]);
    this.#o.admission.recordEngineLoad(load, load.ageMs, this.#clock.now());
    this.#version = versionId(state.version);
    // What the engine already runs counts before any new work is taken.
    if (!this.#isReady) await this.#generations!.adoptAll();
    this.#isReady = state.ready;
    await this.#orders!.reconcile(state);
    await this.#sendCacheEvents(engine);
    return true;
  }

  /** Tells the entries what the engine's prefix cache holds, as far as the engine says. */
  async #sendCacheEvents(engine: ModelEngine): Promise<void> {
    const events = await engine.cacheEvents(this.#cacheSeq).catch(() => []);
    if (events.length === 0) return;
    this.#cacheSeq = events.at(-1)!.seq;
    const cache = events.slice(-MAX_CACHE_EVENTS).map(({ type, prefix }) => ({ type, prefix }));
    this.#sendLoad({ cache });
  }

  #onEngineLost(): void {
    if (!this.#isReady) return;
    this.#isReady = false;
    // An engine that restarts begins its numbers anew.
    this.#cacheSeq = 0;
    this.#o.log.warn({ endpoint: this.#o.endpoint }, "endpoint lost");
    this.#o.admission.recordEngineCrash(this.#clock.now());
    this.#sendLoad({ suspects: this.#suspects() });
  }

  #suspects(): readonly SuspectReport[] | undefined {
    return this.#o.quarantine?.entries(this.#clock.now()).slice(-MAX_SUSPECTS);
  }
}
