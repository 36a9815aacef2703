/**
 * Interface of a model engine.
 *
 * @module
 */
import type { GenerationId } from "@wisteriapick/core";

/** Parameters of a generation. */
export interface EngineRequest {
  readonly gen: GenerationId;
  readonly model: string;
  readonly version: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Generations with a lower value run first. */
  readonly priority: number;
  readonly stop?: readonly string[];
  readonly temperature?: number;
  /** Names of increasingly long prefixes of the prompt, shortest first; cache events use the same names. */
  readonly prefixes?: readonly string[];
  /** Number of prompt tokens by which each prefix is longer than the previous one. */
  readonly prefixTokens?: number;
  /** The caller's route; some faulty versions misbehave on one route only. */
  readonly route?: string;
}

/** Reason for which a generation ended. */
export type FinishReason = "stop" | "length" | "cancelled";

/** An event of a generation; events arrive in order. Token offsets start at 0. */
export type EngineEvent =
  | { readonly type: "token"; readonly offset: number; readonly text: string }
  | {
    readonly type: "end";
    readonly reason: FinishReason;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly completionTokens: number;
  };

/** A load report; `ageMs` is its age. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly kvUsedTokens: number;
  readonly kvTotalTokens: number;
  readonly preemptions: number;
  readonly ageMs: number;
}

/** A generation that the engine has in memory. */
export interface EngineGeneration {
  readonly gen: GenerationId;
  readonly produced: number;
  readonly done: boolean;
}

/** Desired state of an engine. Orders are idempotent. */
export interface EngineOrder {
  readonly fence: number;
  readonly version: string;
  readonly model: string;
  readonly adapters: readonly string[];
  readonly role: string;
}

/** Actual state of an engine. `highestFence` is absent if the engine ignores fencing numbers. */
export interface EngineState {
  readonly version: string;
  readonly model: string;
  readonly adapters: readonly string[];
  readonly role: string;
  readonly ready: boolean;
  readonly highestFence?: number;
}

/** A prefix cache event. Events are published with a delay, and some are lost, which leaves gaps in `seq`. */
export interface CacheEvent {
  readonly seq: number;
  readonly type: "stored" | "evicted";
  readonly prefix: string;
}

/**
 * A model engine. Calls fail with `engine` (the response has an error status), `unreachable` or `timeout`.
 */
export abstract class ModelEngine {
  /** Starts a generation and yields its events. The engine runs a generation id at most once. */
  abstract run(req: EngineRequest, options?: { signal?: AbortSignal }): AsyncIterable<EngineEvent>;

  /** Yields the events of a generation from an offset on. Fails with status 404 if the generation is unknown. */
  abstract resume(
    gen: GenerationId,
    options: { offset: number; signal?: AbortSignal },
  ): AsyncIterable<EngineEvent>;

  /** Cancels a generation; cancelling an unknown one succeeds. */
  abstract cancel(gen: GenerationId): Promise<void>;

  /** Lists the generations that the engine has in memory. */
  abstract generations(): Promise<readonly EngineGeneration[]>;

  abstract load(): Promise<EngineLoad>;

  abstract state(): Promise<EngineState>;

  /** Sends an order. Fails with `fenced` if the engine enforces fencing numbers and has seen a higher one. */
  abstract order(order: EngineOrder): Promise<EngineState>;

  /** Returns the cache events whose `seq` is greater than `after`. */
  abstract cacheEvents(after: number): Promise<readonly CacheEvent[]>;
}
