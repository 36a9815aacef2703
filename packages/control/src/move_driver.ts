/**
 * The driver of one service's moves: collects evidence and writes the move's log entries while it holds the
 * service's lease.
 *
 * The lease belongs to the service, not to the single move, so that fencing numbers of orders rise from one move
 * of a service to the next.
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

/** Time after the deadline before the outcome is settled: every clock has passed it by then. */
export const SETTLE_DELAY_MS = 2_000;

/** Lease duty of a service's driver. */
export function driverDuty(service: ServiceId): string {
  return `service-${service}`;
}

/** Options of {@link MoveDriver}. */
export interface MoveDriverOptions {
  readonly service: ServiceId;
  readonly lease: Pick<Lease, "fence">;
  readonly log: ConfigLog;
  readonly clock: Clock;
  /** Name in the history. */
  readonly who: string;
}

interface Collected {
  readonly evidence: MoveEvidence;
  step: StepStart;
  share: number;
}

/** See the module comment. Candidates without the lease collect evidence too, so that a takeover is warm. */
export class MoveDriver {
  readonly #options: MoveDriverOptions;
  readonly #state: ConfigState;
  readonly #rule = new MoveDeadlineRule();
  readonly #collected = new Map<MoveId, Collected>();
  readonly #lastSeq = new Map<string, number>();
  #writing = false;
  /** The last write that failed, for `status`. */
  lastError: WpError | null = null;

  constructor(options: MoveDriverOptions, state: ConfigState) {
    this.#options = options;
    this.#state = state;
    const setView = (view: ConfigView) =>
      this.#rule.setView(view, options.clock.wall(), { starting: !state.ready() });
    state.registerListener(setView);
    setView(state.current());
  }

  /** The evidence on a move at this process. */
  evidence(id: MoveId): MoveEvidence | null {
    return this.#collected.get(id)?.evidence ?? null;
  }

  /** Takes in an entry's evidence. A repeated report is ignored. */
  onEvidence(report: Evidence): void {
    if (report.seq <= (this.#lastSeq.get(report.process) ?? 0)) return;
    this.#lastSeq.set(report.process, report.seq);
    for (const cell of report.cells) {
      const move = this.#state.current().moves.get(cell.move);
      if (move === undefined || move.service !== this.#options.service) continue;
      this.#collect(move).evidence.add(cell);
    }
  }

  /** One round, about twice a second: decides, and writes when this process holds the lease. */
  async tick(): Promise<void> {
    const move = this.#unsettled(this.#state.current());
    if (move === null) return;
    const collected = this.#collect(move);
    collected.evidence.closeBatch();
    if (this.#writing || this.#options.lease.fence() === null) return;
    const change = this.#due(move, collected);
    if (change !== null) await this.#write(move, change);
  }

  #unsettled(view: ConfigView): Move | null {
    for (const move of view.moves.values()) {
      if (move.service === this.#options.service && !move.settled) return move;
    }
    return null;
  }

  #collect(move: Move): Collected {
    const wallMs = this.#options.clock.wall();
    let row = this.#collected.get(move.id);
    if (row === undefined) {
      const step = { wallMs: Math.max(wallMs, move.startMs), newRequests: 0 };
      row = { evidence: new MoveEvidence(move), step, share: move.share };
      this.#collected.set(move.id, row);
    }
    if (row.share !== move.share) {
      row.share = move.share;
      row.step = { wallMs, newRequests: row.evidence.newRequests };
    }
    return row;
  }

  #due(move: Move, { evidence, step }: Collected): Change | null {
    const wallMs = this.#options.clock.wall();
    if (move.state !== "open" || wallMs >= move.deadlineMs) return this.#settle(move, wallMs);
    return changeOf(move, decideMove(move, evidence, step, wallMs));
  }

  #settle(move: Move, wallMs: number): Change | null {
    // Around the deadline processes may still differ; well before it, `finished` counts for all.
    const early = move.deadlineMs - FINISH_MARGIN_MS;
    if (wallMs >= early && wallMs < move.deadlineMs + SETTLE_DELAY_MS) return null;
    const effect = this.#rule.effect(move, wallMs);
    const finished = effect.type === "finished";
    const reason = finished ? move.reason : "the deadline passed before the move was finished";
    const outcome = finished ? "finished" : "taken_back";
    return { type: "settle_move", id: move.id, outcome, reason };
  }

  async #write(move: Move, change: Change): Promise<void> {
    const { log, clock, who } = this.#options;
    this.#writing = true;
    try {
      await log.append({
        id: `${move.id}/${change.type}/${"share" in change ? change.share : ""}/${who}`,
        note: { who, atMs: clock.wall(), why: "reason" in change ? change.reason : "share grows" },
        build: (state) => {
          this.#requireDue(state.current().moves.get(move.id), change);
          return [change];
        },
        beforeAttempt: () => this.#requireDue(log.state.current().moves.get(move.id), change),
      });
      this.lastError = null;
    } catch (e) {
      // The next round decides anew from what the log then says.
      this.lastError = toWpError(e);
    } finally {
      this.#writing = false;
    }
  }

  /** Checked again before each attempt: a slow store must not turn a timely finish into a late one. */
  #requireDue(move: Move | undefined, change: Change): void {
    const { clock, lease } = this.#options;
    if (lease.fence() === null) notDue("the lease is lost");
    if (move === undefined || move.settled) notDue("the move has ended");
    const late = clock.wall() >= move.deadlineMs - FINISH_MARGIN_MS;
    if (late && change.type === "finish_move") notDue("the deadline is too near");
    if (change.type === "advance_move" && move.share >= change.share) notDue("the share has grown");
  }
}

/** Ends a write that is no longer due. */
function notDue(message: string): never {
  raise({ type: "invalid_change", message });
}

function changeOf(move: Move, decision: MoveDecision): Change | null {
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
