/**
 * What a move means at one process by the deadline rule.
 *
 * `finished` counts only when this process saw it before the deadline by its own clock, or when the driver's
 * `settled` entry confirms it. So all processes that do not hear from the driver agree without talking.
 *
 * @module
 */
import type { MoveId, VersionId } from "@wisteriapick/core";
import type { ConfigView, Move } from "./config_document.ts";

/** Largest difference between the clocks of two processes. */
export const MAX_CLOCK_SKEW_MS = 1_000;
/** `finished` is written only this long before the deadline: 5 s propagation, both clocks, 3 s slack. */
export const FINISH_MARGIN_MS = 5_000 + 2 * MAX_CLOCK_SKEW_MS + 3_000;

/** What a process does with a move's traffic. */
export type MoveEffect =
  | { readonly type: "share"; readonly share: number }
  | { readonly type: "finished" }
  | { readonly type: "taken_back" };

/**
 * One process's view of all moves. Feed it every configuration, so that it knows what it saw before a deadline.
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
   * Takes in a configuration at Unix time `wallMs`. A process that is starting cannot tell what came in time,
   * so while it catches up it goes by the log.
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

  /** What the move means now. */
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

/** The version that a move's effect gives to all traffic, or `null` while it is shared. */
export function versionOf(move: Move, effect: MoveEffect): VersionId | null {
  if (effect.type === "share") return null;
  return effect.type === "finished" ? move.to : move.from;
}
