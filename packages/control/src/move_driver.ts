/**
 * The driver of one service's moves, which collects evidence and writes the log entries of a move while it holds
 * the service's lease.
 *
 * The lease belongs to the service rather than to a move, so that fencing numbers of orders increase from one move
 * of the service to the next.
 *
 * @module
 */
import {
  type Clock,
  type MoveId,
  raise,
  type ServiceId,
  toWpError,
  type WpError,
} from "@wisteriapick/core";
import type { Evidence } from "@wisteriapick/wire";
import type { Change } from "./changes.ts";
import type { ConfigView, Move } from "./config_document.ts";
import type { ConfigLog } from "./config_log.ts";
import type { ConfigState } from "./config_state.ts";
import { MoveEvidence } from "@wisteriapick/policy";
import { decideMove, type MoveDecision, type StepStart } from "./move_policy.ts";
import { FINISH_MARGIN_MS, MoveDeadlineRule } from "./move_deadline_rule.ts";
import type { Lease } from "./lease.ts";

/** Time from the deadline until the outcome is settled, after which every clock has passed the deadline. */
export const SETTLE_DELAY_MS = 2_000;

/** Duty under whose lease a service's driver writes. */
export function driverDuty(service: ServiceId): string {
  return `service-${service}`;
}

/** Options of {@link MoveDriver}. */
export interface MoveDriverOptions {
  readonly service: ServiceId;
  readonly lease: Pick<Lease, "fence">;
  readonly log: ConfigLog;
  readonly clock: Clock;
  /** Author of the entries in the log's history. */
  readonly who: string;
}

interface CollectedEvidence {
  readonly evidence: MoveEvidence;
  step: StepStart;
  share: number;
}

/** Drives one service's moves. Candidates without the lease collect evidence too, so that a takeover loses none. */
export class MoveDriver {
  readonly #options: MoveDriverOptions;
  readonly #state: ConfigState;
  readonly #rule = new MoveDeadlineRule();
  readonly #collected = new Map<MoveId, CollectedEvidence>();
  readonly #lastSeq = new Map<string, number>();
  #writing = false;
  /** Error of the last write, `null` when it succeeded. */
  lastError: WpError | null = null;

  constructor(options: MoveDriverOptions, state: ConfigState) {
    this.#options = options;
    this.#state = state;
    const setView = (view: ConfigView) =>
      this.#rule.setView(view, options.clock.wall(), { starting: !state.ready() });
    state.registerListener(setView);
    setView(state.current());
  }

  /** The evidence that this process has on a move, or `null`. */
  evidence(id: MoveId): MoveEvidence | null {
    return this.#collected.get(id)?.evidence ?? null;
  }

  /** Adds an entry's evidence. A report that was already received is ignored. */
  onEvidence(report: Evidence): void {
    if (report.seq <= (this.#lastSeq.get(report.process) ?? 0)) return;
    this.#lastSeq.set(report.process, report.seq);
    for (const cell of report.cells) {
      const move = this.#state.current().moves.get(cell.move);
      if (move === undefined || move.service !== this.#options.service) continue;
      this.#evidenceFor(move).evidence.add(cell);
    }
  }

  /** Decides on the open move, and writes the change when this process holds the lease. Runs about twice a second. */
  async tick(): Promise<void> {
    const move = this.#unsettledMove(this.#state.current());
    if (move === null) return;
    const collected = this.#evidenceFor(move);
    collected.evidence.closeBatch();
    if (this.#writing || this.#options.lease.fence() === null) return;
    const change = this.#dueChange(move, collected);
    if (change !== null) await this.#write(move, change);
  }

  #unsettledMove(view: ConfigView): Move | null {
    for (const move of view.moves.values()) {
      if (move.service === this.#options.service && !move.settled) return move;
    }
    return null;
  }

  #evidenceFor(move: Move): CollectedEvidence {
    const wallMs = this.#options.clock.wall();
    let collected = this.#collected.get(move.id);
    if (collected === undefined) {
      const step = { wallMs: Math.max(wallMs, move.startMs), newRequests: 0 };
      collected = { evidence: new MoveEvidence(move), step, share: move.share };
      this.#collected.set(move.id, collected);
    }
    if (collected.share !== move.share) {
      collected.share = move.share;
      collected.step = { wallMs, newRequests: collected.evidence.newRequests };
    }
    return collected;
  }

  #dueChange(move: Move, { evidence, step }: CollectedEvidence): Change | null {
    const wallMs = this.#options.clock.wall();
    if (move.state !== "open" || wallMs >= move.deadlineMs) return this.#settle(move, wallMs);
    return changeFor(move, decideMove(move, evidence, step, wallMs));
  }

  #settle(move: Move, wallMs: number): Change | null {
    // Processes may differ on a move that finished close to its deadline; well before it, `finished` holds for all.
    const finishEndMs = move.deadlineMs - FINISH_MARGIN_MS;
    if (wallMs >= finishEndMs && wallMs < move.deadlineMs + SETTLE_DELAY_MS) return null;
    const effect = this.#rule.effect(move, wallMs);
    const isFinished = effect.type === "finished";
    const reason = isFinished ? move.reason : "the deadline passed before the move was finished";
    const outcome = isFinished ? "finished" : "taken_back";
    return { type: "settle_move", id: move.id, outcome, reason };
  }

  async #write(move: Move, change: Change): Promise<void> {
    const { log, clock, who } = this.#options;
    this.#writing = true;
    try {
      await log.append({
        id: `${move.id}/${change.type}/${"share" in change ? change.share : ""}/${who}`,
        note: {
          who,
          atMs: clock.wall(),
          why: "reason" in change ? change.reason : "the share grows",
        },
        build: (state) => {
          this.#requireDue(state.current().moves.get(move.id), change);
          return [change];
        },
        beforeAttempt: () => this.#requireDue(log.state.current().moves.get(move.id), change),
      });
      this.lastError = null;
    } catch (e) {
      // The next tick decides again from the state of the log at that time.
      this.lastError = toWpError(e);
    } finally {
      this.#writing = false;
    }
  }

  /** Runs before each attempt, so that a slow store cannot turn a timely finish into a late one. */
  #requireDue(move: Move | undefined, change: Change): void {
    const { clock, lease } = this.#options;
    if (lease.fence() === null) notDue("the lease is lost");
    if (move === undefined || move.settled) notDue("the move has ended");
    const isTooLate = clock.wall() >= move.deadlineMs - FINISH_MARGIN_MS;
    if (isTooLate && change.type === "finish_move") notDue("the deadline is too near");
    if (change.type === "advance_move" && move.share >= change.share) notDue("the share has grown");
  }
}

/** Raises `invalid_change` to give up a write that is no longer due. */
function notDue(message: string): never {
  raise({ type: "invalid_change", message });
}

function changeFor(move: Move, decision: MoveDecision): Change | null {
  switch (decision.type) {
    case "wait":
      return null;
    case "advance":
      return { type: "advance_move", id: move.id, share: decision.share };
    case "finish":
      return { type: "finish_move", id: move.id, reason: decision.reason };
    case "take_back":
      return { type: "take_back_move", id: move.id, reason: decision.reason };
  }
}
