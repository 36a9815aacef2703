/**
 * Moves at one entry: which version a request gets, and what the entry's own evidence says.
 *
 * @module
 */
import type {
  Clock,
  EndpointId,
  MoveId,
  ProcessId,
  ServiceId,
  Undo,
  VersionId,
} from "@wisteriapick/core";
import type { Evidence, EvidenceCell } from "@wisteriapick/wire";
import { fractionOf } from "@wisteriapick/core";
import type { ConfigSource, Move } from "./config_document.ts";
import { MoveEvidence, SLOW_FIRST_TOKEN_MS } from "@wisteriapick/policy";
import { MoveRule, versionOf } from "./move_rule.ts";

/** Error rate at which one entry stops on its own evidence; a false stop costs only this entry's share. */
export const LOCAL_STOP_ALPHA = 0.001;
/** The death of an endpoint fails all its requests at once: from one endpoint only so many count in this time. */
const BURST_LIMIT = 3;
const BURST_MS = 10_000;

/** One finished request as evidence. */
export interface RequestOutcome {
  readonly service: ServiceId;
  readonly version: VersionId;
  readonly route: string;
  /** Load of the endpoint when it took the request: `high` from 80% of its allowance. */
  readonly loadLevel: "low" | "high";
  readonly endpoint?: EndpointId;
  /** Whether it failed by a fault of the endpoint. Refusals that did not run are no evidence. */
  readonly failed: boolean;
  readonly firstTokenMs?: number;
  readonly gaps?: number;
  /** Gaps over `SLOW_GAP_MS`. */
  readonly slowGaps?: number;
}

interface OpenMove {
  readonly move: Move;
  readonly evidence: MoveEvidence;
  stopped: boolean;
}

/** Uniform in [0, 1) from a request's id, so that its retries get the same version. */
export function moveFractionOf(move: MoveId, request: string): number {
  return fractionOf(`${move}/${request}`);
}

/**
 * See the module comment.
 *
 * @example
 * ```ts
 * const router = new MoveRouter(source, clock, process);
 * const version = router.versionFor(service, request);
 * router.record({ service, version, route, loadLevel: "low", failed: false, firstTokenMs: 120 });
 * ```
 */
export class MoveRouter {
  readonly #source: ConfigSource;
  readonly #clock: Clock;
  readonly #process: ProcessId;
  readonly #rule = new MoveRule();
  readonly #open = new Map<ServiceId, OpenMove>();
  readonly #unsent = new Map<string, EvidenceCell>();
  readonly #bursts = new Map<string, { untilMs: number; count: number }>();
  readonly #moves = new Map<ServiceId, Move>();
  #seq = 0;
  readonly #undo: Undo;

  constructor(source: ConfigSource, clock: Clock, process: ProcessId) {
    this.#source = source;
    this.#clock = clock;
    this.#process = process;
    this.#undo = source.registerListener(() => this.#refresh());
    this.#refresh();
  }

  /** Stops following the configuration. */
  close(): void {
    this.#undo();
  }

  /** The version a request of a service gets now, or `null` for an unknown service. */
  versionFor(service: ServiceId, request: string): VersionId | null {
    const move = this.#moves.get(service);
    const active = this.#source.current().services.get(service)?.activeVersion ?? null;
    if (move === undefined || active === null) return active;
    const effect = this.#rule.effect(move, this.#clock.wall());
    const fixed = versionOf(move, effect);
    if (fixed !== null) return fixed;
    if (effect.type !== "share" || this.#open.get(service)?.stopped) return move.from;
    return moveFractionOf(move.id, request) < effect.share ? move.to : move.from;
  }

  /** Whether this entry has stopped sending to the new version on its own evidence. */
  stopped(service: ServiceId): boolean {
    return this.#open.get(service)?.stopped ?? false;
  }

  /** Records how a request ended. */
  record(out: RequestOutcome): void {
    const open = this.#open.get(out.service);
    if (open === undefined) return;
    if (out.version !== open.move.from && out.version !== open.move.to) return;
    const cell = this.#cellOf(open.move.id, out);
    if (cell === null) return;
    this.#addUnsent(cell);
    open.evidence.add(cell);
    // A batch per bad answer is enough: good ones only add exposure.
    if (cell.failures + cell.slowFirstTokens + cell.slowGaps === 0) return;
    open.evidence.closeBatch();
    if (open.evidence.verdict(LOCAL_STOP_ALPHA) !== null) open.stopped = true;
  }

  /** Evidence since the last call, or `null` when there is none. */
  takeEvidence(): Evidence | null {
    for (const open of this.#open.values()) open.evidence.closeBatch();
    if (this.#unsent.size === 0) return null;
    const cells = [...this.#unsent.values()];
    this.#unsent.clear();
    return { kind: "evidence", process: this.#process, seq: ++this.#seq, cells };
  }

  #refresh(): void {
    const view = this.#source.current();
    this.#rule.setView(view, this.#clock.wall(), { starting: !this.#source.ready() });
    this.#moves.clear();
    for (const move of view.moves.values()) {
      // A settled move is in the service's active version already.
      if (!move.settled) this.#moves.set(move.service, move);
    }
    for (const [service, open] of this.#open) {
      if (this.#moves.get(service)?.id !== open.move.id) this.#open.delete(service);
    }
    for (const [service, move] of this.#moves) {
      if (this.#open.has(service) || move.state !== "open") continue;
      this.#open.set(service, { move, evidence: new MoveEvidence(move), stopped: false });
    }
  }

  #cellOf(move: MoveId, out: RequestOutcome): EvidenceCell | null {
    if (out.failed && this.#isBurst(out)) return null;
    return {
      move,
      version: out.version,
      route: out.route,
      loadLevel: out.loadLevel,
      requests: 1,
      failures: out.failed ? 1 : 0,
      slowFirstTokens: (out.firstTokenMs ?? 0) > SLOW_FIRST_TOKEN_MS ? 1 : 0,
      gaps: out.gaps ?? 0,
      slowGaps: out.slowGaps ?? 0,
    };
  }

  #isBurst(out: RequestOutcome): boolean {
    if (out.endpoint === undefined) return false;
    const now = this.#clock.now();
    const key = `${out.endpoint}/${out.version}`;
    const row = this.#bursts.get(key);
    if (row === undefined || row.untilMs <= now) {
      this.#bursts.set(key, { untilMs: now + BURST_MS, count: 1 });
      return false;
    }
    row.count++;
    return row.count > BURST_LIMIT;
  }

  #addUnsent(cell: EvidenceCell): void {
    const key = `${cell.move}/${cell.version}/${cell.route}/${cell.loadLevel}`;
    const old = this.#unsent.get(key);
    if (old === undefined) return void this.#unsent.set(key, cell);
    this.#unsent.set(key, {
      ...cell,
      requests: old.requests + 1,
      failures: old.failures + cell.failures,
      slowFirstTokens: old.slowFirstTokens + cell.slowFirstTokens,
      gaps: old.gaps + cell.gaps,
      slowGaps: old.slowGaps + cell.slowGaps,
    });
  }
}
