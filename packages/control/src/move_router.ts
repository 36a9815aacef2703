/**
 * Moves at one entry: chooses the version of each request and records how requests ended as evidence.
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
import { MoveDeadlineRule, versionOf } from "./move_deadline_rule.ts";

/** Error rate of the test by which an entry stops on its own evidence. A false stop costs only this entry's share. */
export const LOCAL_STOP_ALPHA = 0.001;
/**
 * Failures of one endpoint that count as evidence within a window, because the death of an endpoint fails all its
 * requests at once.
 */
const MAX_BURST_FAILURES = 3;
const BURST_WINDOW_MS = 10_000;

/** How a request ended, as evidence on its version. */
export interface RequestOutcome {
  readonly service: ServiceId;
  readonly version: VersionId;
  readonly route: string;
  /** Load of the endpoint when it accepted the request: `high` from 80% of its allowance. */
  readonly loadLevel: "low" | "high";
  readonly endpoint?: EndpointId;
  /** Whether the request failed by a fault of the endpoint. A refusal before it ran is no evidence. */
  readonly failed: boolean;
  readonly firstTokenMs?: number;
  readonly gaps?: number;
  /** Gaps longer than `SLOW_GAP_MS`. */
  readonly slowGaps?: number;
}

interface OpenMove {
  readonly move: Move;
  readonly evidence: MoveEvidence;
  stopped: boolean;
}

/** A uniform fraction in [0, 1) from a move and a request's id, so that retries of the request get the same version. */
export function moveFractionOf(move: MoveId, request: string): number {
  return fractionOf(`${move}/${request}`);
}

/**
 * Routes the requests of services that move between versions, and collects evidence on the versions.
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
  readonly #rule = new MoveDeadlineRule();
  readonly #open = new Map<ServiceId, OpenMove>();
  readonly #unsent = new Map<string, EvidenceCell>();
  readonly #failureBursts = new Map<string, { untilMs: number; count: number }>();
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

  /** Removes the listener for the configuration. */
  close(): void {
    this.#undo();
  }

  /** The version that a request of a service gets now, or `null` for an unknown service. */
  versionFor(service: ServiceId, request: string): VersionId | null {
    const move = this.#moves.get(service);
    const active = this.#source.current().services.get(service)?.activeVersion ?? null;
    if (move === undefined || active === null) return active;
    const effect = this.#rule.effect(move, this.#clock.wall());
    const onlyVersion = versionOf(move, effect);
    if (onlyVersion !== null) return onlyVersion;
    if (effect.type !== "share" || this.#open.get(service)?.stopped) return move.from;
    return moveFractionOf(move.id, request) < effect.share ? move.to : move.from;
  }

  /** Whether this entry has stopped sending to the new version on its own evidence. */
  isStopped(service: ServiceId): boolean {
    return this.#open.get(service)?.stopped ?? false;
  }

  /** Records how a request ended. */
  record(outcome: RequestOutcome): void {
    const open = this.#open.get(outcome.service);
    if (open === undefined) return;
    if (outcome.version !== open.move.from && outcome.version !== open.move.to) return;
    const cell = this.#makeCell(open.move.id, outcome);
    if (cell === null) return;
    this.#addUnsent(cell);
    open.evidence.add(cell);
    // Closes a batch and tests it only after a bad outcome, because a good one only adds exposure.
    if (cell.failures + cell.slowFirstTokens + cell.slowGaps === 0) return;
    open.evidence.closeBatch();
    if (open.evidence.verdict(LOCAL_STOP_ALPHA) !== null) open.stopped = true;
  }

  /** Returns the evidence since the last call, or `null` when there is none. */
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
      // The active version of the service already reflects a settled move.
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

  #makeCell(move: MoveId, outcome: RequestOutcome): EvidenceCell | null {
    if (outcome.failed && this.#isBurst(outcome)) return null;
    return {
      move,
      version: outcome.version,
      route: outcome.route,
      loadLevel: outcome.loadLevel,
      requests: 1,
      failures: outcome.failed ? 1 : 0,
      slowFirstTokens: (outcome.firstTokenMs ?? 0) > SLOW_FIRST_TOKEN_MS ? 1 : 0,
      gaps: outcome.gaps ?? 0,
      slowGaps: outcome.slowGaps ?? 0,
    };
  }

  #isBurst(outcome: RequestOutcome): boolean {
    if (outcome.endpoint === undefined) return false;
    const now = this.#clock.now();
    const key = `${outcome.endpoint}/${outcome.version}`;
    const row = this.#failureBursts.get(key);
    if (row === undefined || row.untilMs <= now) {
      this.#failureBursts.set(key, { untilMs: now + BURST_WINDOW_MS, count: 1 });
      return false;
    }
    row.count++;
    return row.count > MAX_BURST_FAILURES;
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
