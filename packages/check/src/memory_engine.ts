/**
 * An in-memory engine: the stand-in's engine model behind the engine client's interface. It records the work that it
 * runs in the history.
 *
 * @module
 */
import {
  type Clock,
  type DataCentreId,
  type EndpointId,
  type GenerationId,
  raise,
  type RequestId,
  requestId,
  type Rng,
  type ServiceId,
  type VersionId,
  versionId,
} from "@wisteriapick/core";
import {
  type CacheEvent,
  type EngineEvent,
  type EngineGeneration,
  type EngineLoad,
  type EngineOrder,
  type EngineRequest,
  type EngineState,
  ModelEngine,
} from "@wisteriapick/clients";
import {
  countPromptTokens,
  drawOutputTokens,
  EngineModel,
  type EngineOptions,
  type ModelFinish,
  TextSource,
} from "@wisteriapick/standins";
import type { Recorder } from "./history.ts";

/** A prompt contains the request's id (`req=<id> …`), which links the engine's events to the caller's request. */
const REQUEST_PATTERN = /req=([A-Za-z0-9._-]+)/;
/** A prompt with this word crashes the engine that runs it. */
export const POISON_WORD = "[poison]";

/** Options of {@link MemoryEngine}. */
export interface MemoryEngineOptions {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly recorder: Recorder;
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly service: ServiceId;
  readonly version: VersionId;
  readonly engine?: EngineOptions;
  /** Alters tokens as they leave the engine, to violate a property on purpose. */
  readonly tamperToken?: (offset: number, text: string, resumed: boolean) => string;
}

type EndEvent = Extract<EngineEvent, { type: "end" }>;

/** A generation at this engine, and the readers that wait for its next token or its end. */
class GenerationState {
  readonly text: TextSource;
  produced = 0;
  end: EndEvent | "failed" | "crashed" | null = null;
  #waiters: (() => void)[] = [];

  constructor(gen: GenerationId, prompt: string) {
    this.text = new TextSource(gen, prompt);
  }

  notifyWaiters(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
  }

  nextChange(): Promise<void> {
    return new Promise((resolve) => void this.#waiters.push(resolve));
  }
}

/** Engine client that runs generations on a model in the same process. */
export class MemoryEngine extends ModelEngine {
  readonly model: EngineModel;
  version: VersionId;
  /** While set, calls fail as unreachable. */
  frozen = false;
  readonly #o: MemoryEngineOptions;
  readonly #generations = new Map<GenerationId, GenerationState>();
  readonly #requests = new Map<GenerationId, RequestId>();
  #highestFence = 0;

  constructor(options: MemoryEngineOptions) {
    super();
    this.#o = options;
    this.version = options.version;
    this.model = new EngineModel({
      clock: options.clock,
      rng: options.rng,
      options: options.engine,
      listener: {
        onStep: ({ gens, produced }) => gens.forEach((gen, i) => this.#onToken(gen, produced[i]!)),
        onFinish: (gen, how, produced, cached) => this.#onFinish(gen, how, produced, cached),
        onCrash: () => this.#onCrash(),
      },
    });
  }

  async *run(
    req: EngineRequest,
    { signal }: { signal?: AbortSignal } = {},
  ): AsyncGenerator<EngineEvent> {
    this.#assertAlive();
    if (this.#generations.has(req.gen)) {
      raise({ type: "engine", message: "generation exists", status: 409 });
    }
    const state = new GenerationState(req.gen, req.prompt);
    this.#generations.set(req.gen, state);
    this.#recordStart(req);
    this.#recordPressure();
    this.model.submit({
      gen: req.gen,
      promptTokens: countPromptTokens(req.prompt),
      outputTokens: drawOutputTokens(req.prompt),
      maxTokens: req.maxTokens,
      priority: req.priority,
      poison: req.prompt.includes(POISON_WORD),
    });
    yield* this.#streamEvents(state, 0, { resumed: false, signal });
  }

  async *resume(
    gen: GenerationId,
    { offset, signal }: { offset: number; signal?: AbortSignal },
  ): AsyncGenerator<EngineEvent> {
    this.#assertAlive();
    const state = this.#generations.get(gen);
    if (state === undefined) raise({ type: "engine", message: "unknown generation", status: 404 });
    yield* this.#streamEvents(state, offset, { resumed: true, signal });
  }

  async cancel(gen: GenerationId): Promise<void> {
    this.#assertAlive();
    this.model.cancel(gen);
  }

  async generations(): Promise<readonly EngineGeneration[]> {
    this.#assertAlive();
    return [...this.#generations].map(([gen, h]) => ({
      gen,
      produced: h.produced,
      done: h.end !== null,
    }));
  }

  async load(): Promise<EngineLoad> {
    this.#assertAlive();
    return this.model.load();
  }

  async state(): Promise<EngineState> {
    this.#assertAlive();
    const { version } = this;
    return {
      version,
      model: "m",
      adapters: [],
      role: "serve",
      ready: true,
      highestFence: this.#highestFence,
    };
  }

  async order(order: EngineOrder): Promise<EngineState> {
    this.#assertAlive();
    if (order.fence < this.#highestFence) {
      raise({ type: "fenced", message: "old fencing number", highest: this.#highestFence });
    }
    this.#highestFence = order.fence;
    this.version = versionId(order.version);
    return await this.state();
  }

  async cacheEvents(after: number): Promise<readonly CacheEvent[]> {
    this.#assertAlive();
    return this.model.cacheEvents(after);
  }

  async *#streamEvents(
    state: GenerationState,
    from: number,
    { resumed, signal }: { resumed: boolean; signal?: AbortSignal },
  ): AsyncGenerator<EngineEvent> {
    let next = from;
    signal?.addEventListener("abort", () => state.notifyWaiters(), { once: true });
    for (;;) {
      if (signal?.aborted) return;
      if (state.end === "crashed") raise({ type: "unreachable", message: "connection reset" });
      while (next < state.produced) {
        const text = state.text.token(next);
        const tampered = this.#o.tamperToken?.(next, text, resumed) ?? text;
        yield { type: "token", offset: next, text: tampered };
        next++;
      }
      if (state.end === "failed") raise({ type: "engine", message: "failed", status: 500 });
      if (state.end !== null) {
        yield state.end;
        return;
      }
      await state.nextChange();
    }
  }

  #assertAlive(): void {
    if (!this.model.alive || this.frozen) {
      raise({ type: "unreachable", message: "connection refused" });
    }
  }

  #recordStart(req: EngineRequest): void {
    const { clock, recorder, endpoint, dataCentre, service } = this.#o;
    const match = REQUEST_PATTERN.exec(req.prompt);
    if (match === null) raise({ type: "invariant", message: "the prompt names no request" });
    const id = requestId(match[1]!);
    this.#requests.set(req.gen, id);
    recorder.record({
      atMs: clock.now(),
      type: "work_started",
      endpoint,
      dataCentre,
      service,
      version: this.version,
      req: id,
      gen: req.gen,
    });
  }

  /** Recorded before the model takes the generation, as an engine that crashes under it runs nothing afterwards. */
  #recordPressure(): void {
    const { clock, recorder, endpoint } = this.#o;
    recorder.record({
      atMs: clock.now(),
      type: "endpoint_pressure",
      endpoint,
      cold: this.model.cold,
      running: this.model.running + this.model.waiting + 1,
      capacity: Math.max(1, this.model.capacity),
    });
  }

  #onToken(gen: GenerationId, produced: number): void {
    const state = this.#generations.get(gen)!;
    const { clock, recorder } = this.#o;
    for (let offset = state.produced; offset < produced; offset++) {
      recorder.record({
        atMs: clock.now(),
        type: "token_produced",
        gen,
        offset,
        text: state.text.token(offset),
      });
    }
    state.produced = produced;
    state.notifyWaiters();
  }

  #onFinish(gen: GenerationId, finish: ModelFinish, produced: number, cachedTokens: number): void {
    const { clock, recorder, endpoint } = this.#o;
    const isCompleted = finish === "stop" || finish === "length";
    recorder.record({
      atMs: clock.now(),
      type: "work_ended",
      endpoint,
      gen,
      tokens: produced,
      how: isCompleted ? "done" : finish,
    });
    if (finish === "failed") this.#recordBadResponse(gen);
    const state = this.#generations.get(gen);
    // A crash has already ended and removed all generations.
    if (state === undefined || finish === "crashed") return;
    if (finish === "failed") state.end = finish;
    else {state.end = {
        type: "end",
        reason: finish,
        promptTokens: 1,
        cachedTokens,
        completionTokens: produced,
      };}
    state.notifyWaiters();
  }

  #recordBadResponse(gen: GenerationId): void {
    const { clock, recorder, service } = this.#o;
    const req = this.#requests.get(gen)!;
    recorder.record({ atMs: clock.now(), type: "bad_answer", version: this.version, service, req });
  }

  #onCrash(): void {
    for (const state of this.#generations.values()) {
      state.end ??= "crashed";
      state.notifyWaiters();
    }
    this.#generations.clear();
    this.#highestFence = 0;
  }
}
