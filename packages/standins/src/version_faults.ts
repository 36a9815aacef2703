/**
 * Faults of a bad version of the engine software.
 *
 * @module
 */
import type { Rng } from "@wisteriapick/core";
import type { ModelRequest, VersionBehaviour } from "./engine_types.ts";

/** The engine's state on which the faults depend. */
export interface FaultContext {
  readonly sinceStartMs: number;
  readonly running: readonly { readonly req: ModelRequest }[];
}

// A generation that fails does so within its first tokens.
const MAX_TOKENS_BEFORE_FAILURE = 8;

/** Applies the misbehaviour of the current version. */
export class VersionFaults {
  behaviour: VersionBehaviour | null;

  constructor(behaviour: VersionBehaviour | null) {
    this.behaviour = behaviour;
  }

  /** Number of tokens after which a new generation fails; infinite when it doesn't fail. */
  drawFailure(req: ModelRequest, context: FaultContext, rng: Rng): number {
    const share = this.#activeBehaviour(req.route, context)?.failShare ?? 0;
    if (share === 0 || !rng.chance(share)) return Infinity;
    return rng.int(Math.min(MAX_TOKENS_BEFORE_FAILURE, req.outputTokens));
  }

  /** Factor on the duration of the current step. */
  slowFactor(context: FaultContext): number {
    const b = this.behaviour;
    if (b?.slowFactor === undefined) return 1;
    if (b.route === undefined) return this.#activeBehaviour(undefined, context)?.slowFactor ?? 1;
    const isAffected = context.running.some((s) =>
      this.#activeBehaviour(s.req.route, context) !== null
    );
    return isAffected ? b.slowFactor : 1;
  }

  #activeBehaviour(route: string | undefined, context: FaultContext): VersionBehaviour | null {
    const b = this.behaviour;
    if (b === null) return null;
    if (context.sinceStartMs < (b.afterMs ?? 0)) return null;
    if (context.running.length < (b.minRunning ?? 0)) return null;
    if (b.route !== undefined && b.route !== route) return null;
    return b;
  }
}
