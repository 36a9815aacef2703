/**
 * A model engine in memory whose tokens, crashes and silences a test controls.
 *
 * @module
 */
import { type GenerationId, raise } from "@wisteriapick/core";
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

interface FakeGeneration {
  readonly req: EngineRequest;
  readonly tokens: string[];
  end: Extract<EngineEvent, { type: "end" }> | null;
}

/** An engine whose tokens are released by the test. Text of token n is `t<n> `. */
export class FakeEngine extends ModelEngine {
  readonly runs: EngineRequest[] = [];
  readonly cancelled: GenerationId[] = [];
  readonly orders: EngineOrder[] = [];
  /** Tokens each generation may have produced at present; raise it with {@link FakeEngine.release}. */
  allowedTokens = 0;
  /** Tokens after which a generation stops. */
  totalTokens = 5;
  version = "v1";
  ready = true;
  highestFence: number | undefined = undefined;
  /** Called for each run before its first event. */
  onRun: (req: EngineRequest) => void = () => {};
  /** While true, every call fails as if no process listened. */
  isDown = false;
  /** Generations that ended by themselves. */
  finishedCount = 0;
  readonly #generations = new Map<GenerationId, FakeGeneration>();
  #wake: (() => void)[] = [];
  #epoch = 0;

  /** Lets generations produce up to `n` tokens. */
  release(n: number): void {
    this.allowedTokens = n;
    this.#notify();
  }

  /** Tokens that a generation has produced. */
  produced(gen: GenerationId | undefined): number {
    return gen === undefined ? 0 : this.#generations.get(gen)?.tokens.length ?? 0;
  }

  /** Ends every open stream and forgets every generation, as a crash does. */
  crash({ down = false }: { down?: boolean } = {}): void {
    this.isDown = down;
    this.#epoch++;
    this.#generations.clear();
    this.#notify();
  }

  /** Silences the streams that are open now; new ones work. */
  stallOpenStreams(): void {
    this.#stalledThrough = ++this.#streamCount;
  }

  async *run(
    req: EngineRequest,
    options: { signal?: AbortSignal } = {},
  ): AsyncIterable<EngineEvent> {
    this.#assertUp();
    this.runs.push(req);
    if (this.#generations.has(req.gen)) raise({ type: "engine", message: "known", status: 409 });
    this.#generations.set(req.gen, { req, tokens: [], end: null });
    const epoch = this.#epoch;
    this.onRun(req);
    yield* this.#events(req.gen, 0, { epoch, signal: options.signal });
  }

  async *resume(
    gen: GenerationId,
    options: { offset: number; signal?: AbortSignal },
  ): AsyncIterable<EngineEvent> {
    this.#assertUp();
    if (!this.#generations.has(gen)) raise({ type: "engine", message: "unknown", status: 404 });
    yield* this.#events(gen, options.offset, { epoch: this.#epoch, signal: options.signal });
  }

  async cancel(gen: GenerationId): Promise<void> {
    this.cancelled.push(gen);
    const held = this.#generations.get(gen);
    if (held !== undefined) held.end ??= this.#makeEnd(held, "cancelled");
    this.#notify();
  }

  async generations(): Promise<readonly EngineGeneration[]> {
    this.#assertUp();
    return [...this.#generations].map(([gen, held]) => ({
      gen,
      produced: held.tokens.length,
      done: held.end !== null,
    }));
  }

  async load(): Promise<EngineLoad> {
    this.#assertUp();
    return {
      running: this.#generations.size,
      waiting: 0,
      kvUsedTokens: 0,
      kvTotalTokens: 1_000,
      preemptions: 0,
      ageMs: 0,
    };
  }

  async state(): Promise<EngineState> {
    this.#assertUp();
    const { version, ready, highestFence } = this;
    return { version, model: "m", adapters: [], role: "serve", ready, highestFence };
  }

  async order(order: EngineOrder): Promise<EngineState> {
    this.#assertUp();
    this.orders.push(order);
    this.version = order.version;
    return await this.state();
  }

  async cacheEvents(): Promise<readonly CacheEvent[]> {
    return [];
  }

  #streamCount = 0;
  #stalledThrough = 0;

  async *#events(
    gen: GenerationId,
    from: number,
    { epoch, signal }: { epoch: number; signal?: AbortSignal },
  ): AsyncIterable<EngineEvent> {
    const stream = ++this.#streamCount;
    let offset = from;
    for (;;) {
      if (this.#epoch !== epoch) raise({ type: "unreachable", message: "engine died" });
      if (signal?.aborted) return;
      const held = this.#generations.get(gen)!;
      const silent = stream <= this.#stalledThrough;
      if (!silent) this.#produce(held);
      if (!silent && offset < held.tokens.length) {
        yield { type: "token", offset, text: held.tokens[offset]! };
        offset++;
      } else if (!silent && held.end !== null) {
        yield held.end;
        return;
      } else await this.#change(signal);
    }
  }

  #produce(held: FakeGeneration): void {
    const total = Math.min(this.totalTokens, held.req.maxTokens);
    if (held.end !== null) return;
    while (held.tokens.length < Math.min(this.allowedTokens, total)) {
      held.tokens.push(`t${held.tokens.length} `);
    }
    if (held.tokens.length < total) return;
    held.end = this.#makeEnd(held, total < this.totalTokens ? "length" : "stop");
    this.finishedCount++;
  }

  #makeEnd(held: FakeGeneration, reason: "stop" | "length" | "cancelled") {
    const completionTokens = held.tokens.length;
    return { type: "end", reason, promptTokens: 3, cachedTokens: 1, completionTokens } as const;
  }

  #change(signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      this.#wake.push(resolve);
      signal?.addEventListener("abort", () => resolve(), { once: true });
    });
  }

  #notify(): void {
    const wake = this.#wake;
    this.#wake = [];
    for (const fn of wake) fn();
  }

  #assertUp(): void {
    if (this.isDown) raise({ type: "unreachable", message: "connection refused" });
  }
}
