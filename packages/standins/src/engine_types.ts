/**
 * Inputs and outputs of the engine model.
 *
 * @module
 */
import type { GenerationId } from "@wisteriapick/core";
import type { PrefixSpec } from "./prefix_cache.ts";

/** A request as the model sees it. Output lengths are hidden from every policy. */
export interface ModelRequest {
  readonly gen: GenerationId;
  readonly promptTokens: number;
  /** Prefixes of the prompt, shortest first. */
  readonly prefixes?: readonly PrefixSpec[];
  /** Tokens after which the generation ends by itself. */
  readonly outputTokens: number;
  readonly maxTokens?: number;
  /** Lower runs first. */
  readonly priority?: number;
  readonly route?: string;
  /** The engine crashes when it starts to run this request. */
  readonly poison?: boolean;
}

/** Misbehaviour of a version: its faults, and the conditions under which they occur. */
export interface VersionBehaviour {
  /** Share of generations that fail. */
  readonly failShare?: number;
  /** Factor on the time of each step. */
  readonly slowFactor?: number;
  /** Only from this time after the engine's start. */
  readonly afterMs?: number;
  /** Only while at least this many generations run. */
  readonly minRunning?: number;
  /** Only on this route; for `slowFactor`, only steps with such a generation. */
  readonly route?: string;
}

/** The reason for which a generation ended. */
export type ModelFinish = "stop" | "length" | "cancelled" | "failed" | "crashed";

/** The generations that produced a token in one step; `produced[i]` is the token count of `gens[i]` so far. */
export interface StepResult {
  readonly atMs: number;
  readonly gens: readonly GenerationId[];
  readonly produced: readonly number[];
}

/** Receives events of the engine model. */
export interface EngineListener {
  onStep?(step: StepResult): void;
  onFinish?(gen: GenerationId, how: ModelFinish, produced: number, cachedTokens: number): void;
  onCrash?(reason: "poison" | "cold_overload" | "killed"): void;
}

/** Sizes and speeds of one engine. */
export interface EngineOptions {
  /** KV memory in tokens, shared by generations and the prefix cache. */
  readonly kvTotalTokens?: number;
  /** Largest number of generations in one step. */
  readonly maxBatch?: number;
  /** Time of a step without any generation. */
  readonly stepBaseMs?: number;
  readonly stepPerGenMs?: number;
  readonly stepPerKvTokenMs?: number;
  readonly prefillPerTokenMs?: number;
  /** Prompt tokens processed in one step at most. */
  readonly prefillChunkTokens?: number;
  /** Factor on every time, for hosts of different speed. */
  readonly slowness?: number;
  /** Number of generations that an engine sustains when it starts cold. */
  readonly coldCapacity?: number;
  /** Number of tokens after which the capacity of a cold engine has doubled. */
  readonly coldDoubleTokens?: number;
  /** Time in which a warm engine that turns cold loses its capacity. */
  readonly coldFadeMs?: number;
  readonly startsCold?: boolean;
  /** Age of load reports. */
  readonly loadLagMs?: number;
  readonly cacheEventLagMs?: number;
  /** Share of cache events that are never published. */
  readonly cacheEventLoss?: number;
  readonly behaviour?: VersionBehaviour | null;
}

/** A lagged load report of the model. */
export interface ModelLoad {
  readonly running: number;
  readonly waiting: number;
  readonly kvUsedTokens: number;
  readonly kvTotalTokens: number;
  readonly preemptions: number;
  readonly ageMs: number;
}

/** Default sizes and speeds. */
export const ENGINE_DEFAULTS = {
  kvTotalTokens: 60_000,
  maxBatch: 128,
  stepBaseMs: 12,
  stepPerGenMs: 0.2,
  stepPerKvTokenMs: 0.00015,
  prefillPerTokenMs: 0.02,
  prefillChunkTokens: 768,
  slowness: 1,
  coldCapacity: 2,
  coldDoubleTokens: 400,
  coldFadeMs: 4_000,
  startsCold: false,
  loadLagMs: 250,
  cacheEventLagMs: 500,
  cacheEventLoss: 0.05,
  behaviour: null,
} satisfies Required<EngineOptions>;

/** One generation inside the engine. */
export interface Seq {
  readonly req: ModelRequest;
  readonly order: number;
  produced: number;
  /** Tokens still to be processed before the next token can be generated. */
  prefillLeft: number;
  /** KV tokens held outside the prefix cache. */
  ownTokens: number;
  /** Tokens held in the prefix cache on behalf of this generation. */
  pinnedTokens: number;
  cachedTokens: number;
  /** Fails after this many tokens. */
  failsAt: number;
}
