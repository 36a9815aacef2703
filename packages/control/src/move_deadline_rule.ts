/**
 * The deadline rule, which gives the effect of a move at one process.
 *
 * `finished` takes effect only when this process saw it before the deadline by its own clock, or when the driver's
 * `settled` entry confirms it. So all processes that receive nothing from the driver agree without communication.
 *
 * @module
 */
import type { MoveId, VersionId } from "@wisteriapick/core";
import type { ConfigView, Move } from "./config_document.ts";

/** Largest difference assumed between the clocks of two processes. */
export const MAX_CLOCK_SKEW_MS = 1_000;
/** Shortest time before the deadline to write `finished`: 5 s of propagation, the skew of both clocks, 3 s of slack. */
export const FINISH_MARGIN_MS = 5_000 + 2 * MAX_CLOCK_SKEW_MS + 3_000;

/** What a process does with the traffic of a moving service. */
export type MoveEffect =
  | { readonly type: "share"; readonly share: number }
  | { readonly type: "finished" }
  | { readonly type: "taken_back" };

/**
 * The deadline rule at one process. Pass it every configuration, so that it knows which moves it saw finished before
 * their deadline.
 *
 * @example
 * ```ts
 * const rule = new MoveRule();
 * rule.setView(view, clock.wall());
 * const effect = rule.effect(move, clock.wall());
 * ```
 */
export class MoveDeadlineRule {
  readonly #finishedInTime = new Set<MoveId>();

  /**
   * Records a configuration at Unix time `wallMs`. A starting process cannot tell which entries were in time, so it
   * follows the log while it catches up.
   */
  setView(view: ConfigView, wallMs: number, { starting = false } = {}): void {
    for (const id of this.#finishedInTime) {
      if (!view.moves.has(id)) this.#finishedInTime.delete(id);
    }
    for (const move of view.moves.values()) {
      if (move.state !== "finished" || move.settled) continue;
      if (starting || wallMs < move.deadlineMs) this.#finishedInTime.add(move.id);
    }
  }

  /** The effect of a move at Unix time `wallMs`. */
  effect(move: Move, wallMs: number): MoveEffect {
    if (move.settled || move.state === "taken_back") {
      return { type: move.state === "finished" ? "finished" : "taken_back" };
    }
    if (move.state === "finished") {
      return { type: this.#finishedInTime.has(move.id) ? "finished" : "taken_back" };
    }
    if (wallMs >= move.deadlineMs) return { type: "taken_back" };
    return { type: "share", share: wallMs < move.startMs ? 0 : move.share };
  }
}

/** The version that receives all traffic under a move's effect, or `null` while both versions share it. */
export function versionOf(move: Move, effect: MoveEffect): VersionId | null {
  if (effect.type === "share") return null;
  return effect.type === "finished" ? move.to : move.from;
}
