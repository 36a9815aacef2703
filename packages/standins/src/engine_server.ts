/**
 * The model engine's stand-in: serves an `EngineModel` over the HTTP protocol of `HttpModelEngine`.
 *
 * Routes: `POST /v1/generations` (newline-delimited JSON, or server-sent events where the caller accepts them),
 * `GET /v1/generations/{id}?offset=N`, `DELETE /v1/generations/{id}`, `GET /v1/generations`, `GET /v1/load`,
 * `GET /v1/state`, `POST /v1/orders`, `GET /v1/cache_events?after=N`. `POST /standin/switches` turns faults on.
 *
 * @module
 */
import { type IncomingMessage, type Server } from "node:http";
import {
  type Clock,
  type GenerationId,
  generationId,
  raise,
  Rng,
  SystemClock,
  type Undo,
} from "@wisteriapick/core";
import type { EngineOrder, EngineRequest, EngineState } from "@wisteriapick/clients";
import { EngineModel } from "./engine_model.ts";
import { HeldGenerations, type StreamEnd, type StreamFormat } from "./engine_streams.ts";
import { countPromptTokens, drawOutputTokens, promptPrefixes, TextSource } from "./engine_text.ts";
import type { EngineOptions, ModelFinish, ModelRequest, VersionBehaviour } from "./engine_types.ts";
import {
  createBoundedServer,
  listen,
  type ListenOptions,
  readJson,
  type RunningServer,
  sendJson,
  type StandinCall,
  type StandinHandler,
  StandinRoutes,
} from "./http_server.ts";

/** Options of {@link EngineStandin}. Times are milliseconds. */
export interface EngineStandinOptions {
  readonly clock?: Clock;
  readonly seed?: number;
  readonly model?: string;
  readonly version?: string;
  readonly adapters?: readonly string[];
  readonly role?: string;
  readonly engine?: EngineOptions;
  /** Whether orders with an outdated fencing number are rejected. */
  readonly enforcesFence?: boolean;
  /** Time for which an ended generation can still be resumed. */
  readonly retainMs?: number;
  /** Time to load another model or version. */
  readonly loadMs?: number;
  /** Time from a crash until the engine restarts with an empty memory; `null` waits for `restart`. */
  readonly restartAfterMs?: number | null;
  /** Misbehaviour by version; versions that aren't listed behave correctly. */
  readonly behaviours?: Readonly<Record<string, VersionBehaviour>>;
  /** A prompt that contains this string crashes the engine. */
  readonly poisonMarker?: string;
}

/** Faults that `POST /standin/switches` or {@link EngineStandin.switch} turns on. */
export interface EngineSwitches {
  readonly crash?: boolean;
  readonly restart?: boolean;
  readonly turnCold?: boolean;
  readonly freezeMs?: number;
  readonly behaviour?: VersionBehaviour | null;
}

const DEFAULTS = {
  seed: 1,
  model: "scribe-7b",
  version: "v1",
  adapters: [] as readonly string[],
  role: "serve",
  engine: {} as EngineOptions,
  enforcesFence: true,
  retainMs: 60_000,
  loadMs: 2_000,
  restartAfterMs: 2_000 as number | null,
  behaviours: {} as Readonly<Record<string, VersionBehaviour>>,
  poisonMarker: "[poison]",
};

const KEEP_ALIVE_MS = 1_000;

/**
 * One model engine.
 *
 * @example
 * ```ts
 * const engine = new EngineStandin({ seed: 7 });
 * const server = await engine.listen();
 * const client = new HttpModelEngine(server.origin);
 * ```
 */
export class EngineStandin {
  readonly #cfg: typeof DEFAULTS;
  readonly #clock: Clock;
  readonly #model: EngineModel;
  readonly #held: HeldGenerations;
  readonly #runs = new Map<GenerationId, number>();
  readonly #undos: Undo[] = [];
  #server: Server | null = null;
  #state: EngineState;
  #highestFence = 0;
  #lastLoad = 0;
  #frozenUntilMs = 0;

  constructor({ clock = new SystemClock(), ...options }: EngineStandinOptions = {}) {
    this.#cfg = { ...DEFAULTS, ...options };
    this.#clock = clock;
    const { retainMs, model, version, adapters, role } = this.#cfg;
    this.#held = new HeldGenerations(clock, { retainMs });
    this.#state = { model, version, adapters, role, ready: true };
    this.#model = new EngineModel({
      clock,
      rng: new Rng(this.#cfg.seed),
      options: { behaviour: this.#cfg.behaviours[version] ?? null, ...this.#cfg.engine },
      listener: {
        onStep: (step) => step.gens.forEach((gen, i) => this.#advance(gen, step.produced[i]!)),
        onFinish: (gen, how, _produced, cached) => this.#finish(gen, how, cached),
        onCrash: () => this.#onCrash(),
      },
    });
    const housekeeping = () => {
      this.#held.sweep();
      if (!this.#isFrozen()) this.#held.keepAlive();
    };
    this.#undos.push(clock.setRepeating(KEEP_ALIVE_MS, housekeeping));
  }

  /** The underlying model, for its counts. */
  get model(): EngineModel {
    return this.#model;
  }

  /** Number of runs by generation id, across restarts. */
  get runs(): ReadonlyMap<GenerationId, number> {
    return this.#runs;
  }

  /** Turns faults on or off. */
  switch(switches: EngineSwitches): void {
    if (switches.behaviour !== undefined) this.#model.setBehaviour(switches.behaviour);
    if (switches.turnCold) this.#model.turnCold();
    if (switches.freezeMs !== undefined) this.#freeze(switches.freezeMs);
    if (switches.crash) this.#model.crash();
    if (switches.restart) this.#model.restart();
  }

  /** Starts the HTTP server. */
  async listen(options: ListenOptions = {}): Promise<RunningServer> {
    const routes = this.#routes();
    const server = createBoundedServer((req, res) => routes.lookup(req, res));
    // A crashed engine refuses connections but keeps its port, so that no other process can take it meanwhile.
    server.on("connection", (socket) => {
      if (!this.#model.isAlive) socket.destroy();
    });
    this.#server = server;
    const running = await listen(server, options);
    const close = async () => {
      for (const undo of this.#undos.splice(0)) undo();
      await running.close();
    };
    return { ...running, close };
  }

  #routes(): StandinRoutes {
    return new StandinRoutes()
      .on("POST", "/v1/generations", this.#afterFreeze((call) => this.#run(call)))
      .on("GET", "/v1/generations/:id", this.#afterFreeze((call) => this.#resume(call)))
      .on(
        "DELETE",
        "/v1/generations/:id",
        this.#afterFreeze(({ res, params }) => {
          this.#model.cancel(generationId(params.id!));
          sendJson(res, 200, {});
        }),
      )
      .on(
        "GET",
        "/v1/generations",
        this.#afterFreeze(({ res }) => {
          sendJson(res, 200, this.#held.list());
        }),
      )
      .on("GET", "/v1/load", this.#afterFreeze(({ res }) => sendJson(res, 200, this.#model.load())))
      .on("GET", "/v1/state", this.#afterFreeze(({ res }) => sendJson(res, 200, this.state())))
      .on(
        "POST",
        "/v1/orders",
        this.#afterFreeze(async ({ req, res }) => {
          sendJson(res, 200, this.order(await readJson<EngineOrder>(req)));
        }),
      )
      .on(
        "GET",
        "/v1/cache_events",
        this.#afterFreeze(({ res, query }) => {
          sendJson(res, 200, this.#model.cacheEvents(Number(query.get("after") ?? 0)));
        }),
      )
      .on("GET", "/standin/runs", ({ res }) => sendJson(res, 200, Object.fromEntries(this.#runs)))
      .on("POST", "/standin/switches", async ({ req, res }) => {
        const switches = await readJson<EngineSwitches>(req);
        sendJson(res, 200, {});
        this.switch(switches);
      });
  }

  /** The model, version, adapters and role that the engine serves, and whether it is ready. */
  state(): EngineState {
    const { enforcesFence } = this.#cfg;
    const ready = this.#state.ready && this.#model.isAlive;
    return { ...this.#state, ready, highestFence: enforcesFence ? this.#highestFence : undefined };
  }

  /** Applies an order. A different version or model is loaded first; meanwhile new generations are rejected. */
  order(order: EngineOrder): EngineState {
    if (this.#cfg.enforcesFence && order.fence < this.#highestFence) {
      raise({
        type: "fenced",
        message: "the fencing number is outdated",
        highest: this.#highestFence,
      });
    }
    this.#highestFence = Math.max(this.#highestFence, order.fence);
    const { model, version, adapters, role } = order;
    const needsLoad = model !== this.#state.model || version !== this.#state.version;
    this.#state = { model, version, adapters, role, ready: needsLoad ? false : this.#state.ready };
    if (needsLoad) this.#load();
    return this.state();
  }

  #load(): void {
    const load = ++this.#lastLoad;
    this.#clock.setTimer(this.#cfg.loadMs, () => {
      if (load !== this.#lastLoad) return;
      this.#state = { ...this.#state, ready: true };
      this.#model.setBehaviour(this.#cfg.behaviours[this.#state.version] ?? null);
      this.#model.turnCold();
    });
  }

  async #run(call: StandinCall): Promise<void> {
    const req = await readJson<EngineRequest>(call.req);
    const gen = generationId(String(req.gen));
    if (typeof req.prompt !== "string" || !(req.maxTokens > 0)) {
      raise({ type: "engine", message: "prompt and maxTokens are required", status: 400 });
    }
    if (!this.#state.ready) {
      raise({ type: "engine", message: "the engine is loading", status: 503 });
    }
    if (req.version !== this.#state.version) {
      const message = `the engine runs version ${this.#state.version}`;
      raise({ type: "engine", message, status: 422 });
    }
    const held = this.#held.create(gen, req.prompt, countPromptTokens(req.prompt));
    if (held === null) {
      raise({ type: "engine", message: "this generation id has already been run", status: 409 });
    }
    this.#runs.set(gen, (this.#runs.get(gen) ?? 0) + 1);
    held.streamTo(call.res, formatOf(call.req), 0);
    this.#model.submit(this.#modelRequest(req, gen));
  }

  #modelRequest(req: EngineRequest, gen: GenerationId): ModelRequest {
    const prefixTokens = req.prefixTokens ?? 64;
    const prefixes = req.prefixes?.map((hash, i) => ({ hash, tokens: (i + 1) * prefixTokens }));
    return {
      gen,
      promptTokens: countPromptTokens(req.prompt),
      prefixes: prefixes ?? promptPrefixes(req.prompt),
      outputTokens: outputTokens(req, gen),
      maxTokens: req.maxTokens,
      priority: req.priority,
      route: req.route,
      poison: req.prompt.includes(this.#cfg.poisonMarker),
    };
  }

  #resume(call: StandinCall): void {
    const held = this.#held.get(generationId(call.params.id!));
    if (held === undefined) {
      raise({ type: "engine", message: "the generation is unknown", status: 404 });
    }
    const offset = Number(call.query.get("offset") ?? 0);
    if (!Number.isSafeInteger(offset) || offset < 0) {
      raise({ type: "engine", message: "offset: expected a whole number from 0", status: 400 });
    }
    held.streamTo(call.res, formatOf(call.req), offset);
  }

  #advance(gen: GenerationId, produced: number): void {
    this.#held.get(gen)?.advance(produced);
  }

  #finish(gen: GenerationId, how: ModelFinish, cachedTokens: number): void {
    const held = this.#held.get(gen);
    // A crash breaks all connections without an end event.
    if (held === undefined || how === "crashed") return;
    const { promptTokens, produced: completionTokens } = held;
    const end: StreamEnd = how === "failed"
      ? { type: "error", status: 500, message: "generation failed" }
      : { type: "end", reason: how, promptTokens, cachedTokens, completionTokens };
    held.finish(end, this.#clock.now());
  }

  #onCrash(): void {
    this.#held.discardAll();
    this.#server?.closeAllConnections();
    this.#highestFence = 0;
    const { restartAfterMs } = this.#cfg;
    if (restartAfterMs === null) return;
    this.#undos.push(this.#clock.setTimer(restartAfterMs, () => this.#model.restart()));
  }

  #freeze(ms: number): void {
    this.#frozenUntilMs = Math.max(this.#frozenUntilMs, this.#clock.now() + ms);
    this.#model.stall(ms);
  }

  #isFrozen(): boolean {
    return this.#clock.now() < this.#frozenUntilMs;
  }

  /** Delays calls until the engine is no longer frozen. */
  #afterFreeze(handler: StandinHandler): StandinHandler {
    return async (call) => {
      while (this.#isFrozen()) await this.#clock.sleep(this.#frozenUntilMs - this.#clock.now());
      await handler(call);
    };
  }
}

function formatOf(req: IncomingMessage): StreamFormat {
  return req.headers.accept?.includes("text/event-stream") ? "sse" : "ndjson";
}

/** Number of tokens after which the generation ends by itself: its drawn length, or before a stop word appears. */
function outputTokens(req: EngineRequest, gen: GenerationId): number {
  const drawn = drawOutputTokens(req.prompt);
  if (req.stop === undefined || req.stop.length === 0) return drawn;
  const source = new TextSource(gen, req.prompt);
  let text = "";
  for (let i = 0; i < Math.min(drawn, req.maxTokens); i++) {
    text += source.token(i);
    if (req.stop.some((stop) => text.includes(stop))) return Math.max(1, i);
  }
  return drawn;
}
