/**
 * A model engine in memory: the stand-in's pure model behind the engine interface, recording what it runs.
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

/** A prompt names its request so that the engine's record can be matched: `req=<id> …`. */
const REQUEST_PATTERN = /req=([A-Za-z0-9._-]+)/;
/** A prompt with this word crashes the engine that runs it. */
export const POISON_WORD = "[poison]";

/** What an engine is made of. */
export interface MemoryEngineOptions {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly recorder: Recorder;
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly service: ServiceId;
  readonly version: VersionId;
  readonly engine?: EngineOptions;
  /** Alters tokens on their way out, to break a promise on purpose. */
  readonly tamperToken?: (offset: number, text: string, resumed: boolean) => string;
}

type End = Extract<EngineEvent, { type: "end" }>;

class Held {
  readonly text: TextSource;
  produced = 0;
  end: End | "failed" | "crashed" | null = null;
  #waiters: (() => void)[] = [];

  constructor(gen: GenerationId, prompt: string) {
    this.text = new TextSource(gen, prompt);
  }

  wake(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
  }

  changed(): Promise<void> {
    return new Promise((resolve) => void this.#waiters.push(resolve));
  }
}

/** See the module comment. */
export class MemoryEngine extends ModelEngine {
  readonly model: EngineModel;
  version: VersionId;
  /** While set, calls hang as they do on a host whose network stalls. */
  frozen = false;
  readonly #o: MemoryEngineOptions;
  readonly #held = new Map<GenerationId, Held>();
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
    if (this.#held.has(req.gen)) {
      raise({ type: "engine", message: "generation exists", status: 409 });
    }
    const held = new Held(req.gen, req.prompt);
    this.#held.set(req.gen, held);
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
    yield* this.#follow(held, 0, { resumed: false, signal });
  }

  async *resume(
    gen: GenerationId,
    { offset, signal }: { offset: number; signal?: AbortSignal },
  ): AsyncGenerator<EngineEvent> {
    this.#assertAlive();
    const held = this.#held.get(gen);
    if (held === undefined) raise({ type: "engine", message: "unknown generation", status: 404 });
    yield* this.#follow(held, offset, { resumed: true, signal });
  }

  async cancel(gen: GenerationId): Promise<void> {
    this.#assertAlive();
    this.model.cancel(gen);
  }

  async generations(): Promise<readonly EngineGeneration[]> {
    this.#assertAlive();
    return [...this.#held].map(([gen, h]) => ({ gen, produced: h.produced, done: h.end !== null }));
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

  async *#follow(
    held: Held,
    from: number,
    { resumed, signal }: { resumed: boolean; signal?: AbortSignal },
  ): AsyncGenerator<EngineEvent> {
    let next = from;
    signal?.addEventListener("abort", () => held.wake(), { once: true });
    for (;;) {
      if (signal?.aborted) return;
      if (held.end === "crashed") raise({ type: "unreachable", message: "connection reset" });
      while (next < held.produced) {
        const text = held.text.token(next);
        const tampered = this.#o.tamperToken?.(next, text, resumed) ?? text;
        yield { type: "token", offset: next, text: tampered };
        next++;
      }
      if (held.end === "failed") raise({ type: "engine", message: "failed", status: 500 });
      if (held.end !== null) {
        yield held.end;
        return;
      }
      await held.changed();
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

  /** Before the engine takes one more: one that breaks down under it runs nothing afterwards. */
  #recordPressure(): void {
    const { clock, recorder, endpoint } = this.#o;
    recorder.record({
      atMs: clock.now(),
      type: "endpoint_pressure",
      endpoint,
      cold: this.model.cold,
      running: this.model.running + this.model.waiting + 1,
      bears: Math.max(1, this.model.capacity),
    });
  }

  #onToken(gen: GenerationId, produced: number): void {
    const held = this.#held.get(gen)!;
    const { clock, recorder } = this.#o;
    for (let offset = held.produced; offset < produced; offset++) {
      recorder.record({
        atMs: clock.now(),
        type: "token_produced",
        gen,
        offset,
        text: held.text.token(offset),
      });
    }
    held.produced = produced;
    held.wake();
  }

  #onFinish(gen: GenerationId, how: ModelFinish, produced: number, cachedTokens: number): void {
    const { clock, recorder, endpoint } = this.#o;
    const done = how === "stop" || how === "length";
    recorder.record({
      atMs: clock.now(),
      type: "work_ended",
      endpoint,
      gen,
      tokens: produced,
      how: done ? "done" : how,
    });
    if (how === "failed") this.#recordBadAnswer(gen);
    const held = this.#held.get(gen);
    // A crash has already ended and forgotten everything.
    if (held === undefined || how === "crashed") return;
    if (how === "failed") held.end = how;
    else {held.end = {
        type: "end",
        reason: how,
        promptTokens: 1,
        cachedTokens,
        completionTokens: produced,
      };}
    held.wake();
  }

  #recordBadAnswer(gen: GenerationId): void {
    const { clock, recorder, service } = this.#o;
    const req = this.#requests.get(gen)!;
    recorder.record({ atMs: clock.now(), type: "bad_answer", version: this.version, service, req });
  }

  #onCrash(): void {
    for (const held of this.#held.values()) {
      held.end ??= "crashed";
      held.wake();
    }
    this.#held.clear();
    this.#highestFence = 0;
  }
}
