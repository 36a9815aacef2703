/**
 * The interface of a model engine.
 *
 * @module
 */
import type { GenerationId } from "@wisteriapick/core";

/** What an engine is asked to generate. */
export interface EngineRequest {
  readonly gen: GenerationId;
  readonly model: string;
  readonly version: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Lower runs first. */
  readonly priority: number;
  readonly stop?: readonly string[];
  readonly temperature?: number;
  /** Names of growing prefixes of the prompt, shortest first, as cache events name them. */
  readonly prefixes?: readonly string[];
  /** Tokens of the prompt that each further prefix covers. */
  readonly prefixTokens?: number;
  /** The caller's route; some versions misbehave on one route only. */
  readonly route?: string;
}

/** Why a generation ended. */
export type FinishReason = "stop" | "length" | "cancelled";

/** Events of a generation, in order. Offsets count tokens from 0. */
export type EngineEvent =
  | { readonly type: "token"; readonly offset: number; readonly text: string }
  | {
    readonly type: "end";
    readonly reason: FinishReason;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly completionTokens: number;
  };

/** A load report, as old as `ageMs` says. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly kvUsedTokens: number;
  readonly kvTotalTokens: number;
  readonly preemptions: number;
  readonly ageMs: number;
}

/** A generation that the engine holds. */
export interface EngineGeneration {
  readonly gen: GenerationId;
  readonly produced: number;
  readonly done: boolean;
}

/** A desired state. Repeating an order is safe. */
export interface EngineOrder {
  readonly fence: number;
  readonly version: string;
  readonly model: string;
  readonly adapters: readonly string[];
  readonly role: string;
}

/** What the engine runs. `highestFence` is absent where the engine ignores fencing numbers. */
export interface EngineState {
  readonly version: string;
  readonly model: string;
  readonly adapters: readonly string[];
  readonly role: string;
  readonly ready: boolean;
  readonly highestFence?: number;
}

/** A prefix cache event. Published late and with gaps: `seq` values may be missing. */
export interface CacheEvent {
  readonly seq: number;
  readonly type: "stored" | "evicted";
  readonly prefix: string;
}

/**
 * One model engine. Calls fail with `engine` (it answered with an error status), `unreachable` or `timeout`.
 */
export abstract class ModelEngine {
  /** Starts a generation and yields its events. The engine runs a generation id at most once. */
  abstract run(req: EngineRequest, options?: { signal?: AbortSignal }): AsyncIterable<EngineEvent>;

  /** Yields the events of a generation from an offset on. Fails with status 404 when it is unknown. */
  abstract resume(
    gen: GenerationId,
    options: { offset: number; signal?: AbortSignal },
  ): AsyncIterable<EngineEvent>;

  /** Cancels a generation; cancelling an unknown one succeeds. */
  abstract cancel(gen: GenerationId): Promise<void>;

  /** The generations the engine holds. */
  abstract generations(): Promise<readonly EngineGeneration[]>;

  abstract load(): Promise<EngineLoad>;

  abstract state(): Promise<EngineState>;

  /** Gives an order. Fails with `fenced` where the engine enforces fencing numbers. */
  abstract order(order: EngineOrder): Promise<EngineState>;

  /** Cache events after `seq`. */
  abstract cacheEvents(after: number): Promise<readonly CacheEvent[]>;
}
