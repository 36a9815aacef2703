/**
 * The side of one endpoint: admits work, runs it at the endpoint and reports the endpoint's load to the entries.
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

/** Options of a {@link Side}. A model service has an `engine`, a plain service an `origin`. */
export interface SideOptions {
  readonly identity: Identity;
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly engine?: ModelEngine;
  /** Base of a plain service's endpoint, for example `http://127.0.0.1:7300`. */
  readonly origin?: string;
  /** Sends the requests to a plain service; `undici` agents by default. */
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
  /** The admission's record of requests that crash endpoints; sent to the entries after a crash. */
  readonly quarantine?: Quarantine;
  /** Interval between probes of the endpoint. */
  readonly probeIntervalMs?: number;
  readonly tickIntervalMs?: number;
  /** Interval at which a changed load is reported to the entries. */
  readonly loadIntervalMs?: number;
}

/** Consecutive failed probes after which the endpoint counts as down; a single probe may be lost by chance. */
const MAX_FAILED_PROBES = 3;
const PROBE_TIMEOUT_MS = 1_000;
/** Maximum cache events in one report; the latest are sent, as they describe the current cache best. */
const MAX_CACHE_EVENTS = 256;
/** Maximum suspects in one message; the latest are sent, as those of the latest crash come last. */
const MAX_SUSPECTS = 256;

/**
 * Serves one endpoint to the entries.
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
    const { engine, origin, dispatcher, endpoint, readHighestFence, world, logs } = options;
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
        readHighestFence,
        onOrderApplied,
      });
    }
    if (origin !== undefined) this.#calls = new SideCalls(this.#ctx, { origin, world, dispatcher });
  }

  /** Registers the handlers for the entries' messages and starts to probe the endpoint. */
  start(): void {
    const {
      router,
      probeIntervalMs = 500,
      tickIntervalMs = 20,
      loadIntervalMs = 1_000,
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
      this.#clock.setRepeating(probeIntervalMs, () => void this.#probe()),
      this.#clock.setRepeating(tickIntervalMs, () => this.#tick()),
      this.#clock.setRepeating(loadIntervalMs, () => this.#sendLoad()),
      this.#o.config.registerListener(() => {
        this.#readServiceVersion();
        this.#sendLoad();
      }),
    );
    void this.#probe();
  }

  /** Whether new work is accepted, regardless of configuration and admission. */
  get ready(): boolean {
    return this.#isReady && !this.#isDraining && this.#version !== null;
  }

  /** Sets whether the platform will remove the host soon. Connected entries are notified at once. */
  setLeaving(leaving: boolean): void {
    if (this.#isLeaving === leaving) return;
    this.#isLeaving = leaving;
    this.#sendLoad();
  }

  /** Planned stop: refuses new work and resolves once all running work has been delivered. */
  async drain({ pollMs = 20 }: { pollMs?: number } = {}): Promise<void> {
    this.#isDraining = true;
    this.#sendLoad();
    while (!this.#isIdle()) await this.#clock.sleep(pollMs);
    this.close();
  }

  /** Stops at once and abandons running work, as a crash of the process does. */
  close(): void {
    for (const undo of this.#undos.splice(0)) undo();
    this.#generations?.release();
    void this.#calls?.close();
  }

  /** The current load, with the next report number. */
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

  /** Reports the load to the connected entries if anything but the report number has changed. */
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

  /** Reads the version of a plain service from the configuration, as only engines report theirs. */
  #readServiceVersion(): void {
    const { engine, config, endpoint, service } = this.#o;
    if (engine !== undefined) return;
    const view = config.current();
    this.#version = view.endpoints.get(endpoint)?.version ??
      view.services.get(service)?.activeVersion ?? null;
  }

  async #probeOnce(): Promise<boolean> {
    const { engine } = this.#o;
    if (engine === undefined) {
      this.#readServiceVersion();
      const isUp = await this.#calls!.probe(PROBE_TIMEOUT_MS);
      if (isUp) this.#isReady = true;
      return isUp;
    }
    const [load, state] = await Promise.all([engine.load(), engine.state()]);
    this.#o.admission.recordEngineLoad(load, load.ageMs, this.#clock.now());
    this.#version = versionId(state.version);
    // Generations that the engine already runs must be counted before new work is accepted.
    if (!this.#isReady) await this.#generations!.adoptAll();
    this.#isReady = state.ready;
    await this.#orders!.reconcile(state);
    await this.#sendCacheEvents(engine);
    return true;
  }

  /** Forwards new events of the engine's prefix cache, where the engine reports them. */
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
    // A restarted engine numbers its cache events from the start again.
    this.#cacheSeq = 0;
    this.#o.log.warn({ endpoint: this.#o.endpoint }, "endpoint lost");
    this.#o.admission.recordEngineCrash(this.#clock.now());
    this.#sendLoad({ suspects: this.#suspects() });
  }

  #suspects(): readonly SuspectReport[] | undefined {
    return this.#o.quarantine?.entries(this.#clock.now()).slice(-MAX_SUSPECTS);
  }
}
