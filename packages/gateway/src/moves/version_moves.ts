/**
 * Moves a service's traffic from the versions that it runs to a new one, by a deadline.
 *
 * Every gateway counts the results of the versions and sends the counts to its peers, so that all pace the new
 * version's traffic by the same counts. One gateway, chosen by rendezvous hash, writes the move's status. Two gateways
 * that both consider themselves chosen do no harm, as a status is only written on the revision that it was decided on.
 *
 * @module
 */
import {
  type Clock,
  fractionOf,
  type RouteId,
  type ServiceId,
  toWpError,
  type Undo,
  type VersionId,
} from "@wisteriapick/core";
import {
  type ExposureLimits,
  MoveEvidence,
  nextMoveStep,
  type VersionCounts,
} from "@wisteriapick/policy";
import type { MoveEnded } from "@wisteriapick/wire";
import type { MoveRecord, MoveState } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { PeerGroup } from "../peers/peer_group.ts";
import type { EndpointRow } from "../state/fleet.ts";
import { type RetainedEnd, RetainedObjects } from "../state/retained_objects.ts";
import type { StateStore } from "../state/state_store.ts";
import { NO_OUTAGE, type StoreOutage } from "../state/store_outage.ts";
import type { StorePosition } from "../state/store_position.ts";
import type { StoreView, ViewItem } from "../state/store_view.ts";

/** How a request ended at an endpoint of a version. */
export interface VersionOutcome {
  readonly service: ServiceId;
  readonly version: VersionId;
  readonly route: RouteId;
  /** Whether the endpoint failed it. */
  readonly isFailure: boolean;
  /** Whether its response, or its first event, was late. */
  readonly isSlow: boolean;
}

/** Options of {@link VersionMoves}. */
export interface VersionMovesOptions {
  readonly view: StoreView;
  readonly store: StateStore;
  readonly network: PeerGroup;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly limits: () => ExposureLimits;
  /** The present or the last outage of the store; none by default. */
  readonly outage?: () => StoreOutage;
}

/** Probability that a good version is ever shown to be worse. */
const WORSE_ALPHA = 0.01;
/**
 * A version is non-inferior if at most this fraction of its requests is worse, but for a probability of
 * {@link NON_INFERIORITY_BETA}.
 */
const NON_INFERIORITY_MARGIN = 0.15;
const NON_INFERIORITY_BETA = 0.1;
/** Interval at which counts are sent to peers and the evidence is evaluated, in milliseconds. */
const STEP_INTERVAL_MS = 100;
/** Interval at which the gateway that writes is told of an end that the store has lost, in milliseconds. */
const TELL_END_INTERVAL_MS = 300;
/** Protocol version from which on gateways tell each other of ends that the store has lost. */
const MOVE_ENDS_SINCE_VERSION = 5;
/** Delay between two attempts to write a status, in milliseconds. */
const WRITE_RETRY_DELAY_MS = 300;

interface Totals {
  requests: number;
  exposed: number;
  bad: number;
}

interface OpenMove {
  /** The order, with the end that it has reached, which a restored store may not show. */
  record: MoveRecord;
  /** The state that the store shows. */
  shownState: MoveState | null;
  /** The store's era in which it showed the end that was reached; `null` if it has not, or another gateway said so. */
  endEra: number | null;
  /** Where the store had the order; its revision is the condition of each write. */
  position: StorePosition;
  /** Whether a restored store does not show the order, so that nothing can be written to it. */
  isRetained: boolean;
  readonly startedAtMs: number;
  readonly evidence: MoveEvidence;
  readonly totals: Totals;
  share: number;
  end: MoveState | null;
  lastWriteMs: number;
  lastToldMs: number;
  isWriting: boolean;
}

/** Follows the moves that the store orders, and limits each request to the versions that it may go to. */
export class VersionMoves {
  readonly #options: VersionMovesOptions;
  readonly #open = new Map<ServiceId, OpenMove>();
  readonly #unsentCounts = new Map<string, VersionCounts & { readonly service: ServiceId }>();
  readonly #undos: Undo[];
  /** Orders in force, those that a restored store has lost included. */
  readonly #orders: RetainedObjects<MoveRecord>;
  #seq = 0;
  #lastStepMs = -Infinity;

  constructor(options: VersionMovesOptions) {
    this.#options = options;
    const { moves } = options.view.kinds;
    this.#orders = new RetainedObjects({
      view: moves,
      isSameOrder: (a, b) => a.target === b.target,
    });
    this.#undos = [
      moves.registerListener(({ isRestored }) => {
        this.#refresh(this.#orders.update(isRestored, options.clock.now()));
      }),
      options.network.registerHandler("move_ended", (peer, end) => this.#learnEnd(peer, end)),
      options.network.registerHandler("version_counts", (_peer, { counts }) => {
        for (const { service, ...rest } of counts) this.#addCounts(service, rest);
      }),
    ];
  }

  /**
   * The endpoints among `rows` whose version a request may go to now. While the share of the new version does not
   * change, a request gets the same version every time, unless the new one has no endpoint left for it.
   */
  allowedEndpoints(
    service: ServiceId,
    rows: readonly EndpointRow[],
    requestId: string,
  ): readonly EndpointRow[] {
    const move = this.#open.get(service);
    if (move === undefined) return rows;
    const { target, state } = move.record;
    const rowsOfNew = () => rows.filter(({ record }) => record.version === target);
    const rowsOfOld = () => rows.filter(({ record }) => record.version !== target);
    if (state === "completed") return rowsOfNew();
    if (state === "rolled_back") return rowsOfOld();
    if (fractionOf(`${service}/${requestId}`) >= move.share) return rowsOfOld();
    const chosen = rowsOfNew();
    return chosen.length > 0 ? chosen : rowsOfOld();
  }

  /** Whether a move has ended that takes all endpoints of a version away. */
  isRetired({ service, version }: Pick<VersionOutcome, "service" | "version">): boolean {
    const record = this.#open.get(service)?.record;
    if (record?.state === "completed") return version !== record.target;
    return record?.state === "rolled_back" && version === record.target;
  }

  /** Records how a request ended. */
  record({ service, version, route, isFailure, isSlow }: VersionOutcome): void {
    const move = this.#open.get(service);
    if (move === undefined || isSettled(move.record)) return;
    const counts: VersionCounts = {
      version,
      route,
      loadLevel: "low",
      requests: 1,
      failures: isFailure ? 1 : 0,
      slowFirstTokens: isSlow ? 1 : 0,
      gaps: 0,
      slowGaps: 0,
    };
    this.#addCounts(service, counts);
    const key = `${service}/${version}/${route}`;
    const old = this.#unsentCounts.get(key);
    this.#unsentCounts.set(key, {
      service,
      ...(old === undefined ? counts : addCounts(old, counts)),
    });
  }

  /** Sends new counts to peers, and advances each move. Called each tick. */
  tick(): void {
    const now = this.#options.clock.now();
    const { outage = () => NO_OUTAGE } = this.#options;
    const ended = this.#orders.expire(now, outage());
    if (ended.size > 0) this.#refresh(ended);
    if (this.#open.size === 0 || now - this.#lastStepMs < STEP_INTERVAL_MS) return;
    this.#lastStepMs = now;
    if (this.#unsentCounts.size > 0) {
      const counts = [...this.#unsentCounts.values()];
      this.#unsentCounts.clear();
      this.#options.network.broadcast({ kind: "version_counts", seq: ++this.#seq, counts });
    }
    for (const [service, move] of this.#open) this.#advance(service, move, now);
  }

  close(): void {
    for (const undo of this.#undos) undo();
  }

  #advance(service: ServiceId, move: OpenMove, now: number): void {
    if (isSettled(move.record)) return this.#writeEndAgain(service, move, now);
    move.evidence.closeBatch();
    const step = nextMoveStep({
      elapsedMs: now - move.startedAtMs,
      durationMs: move.record.durationMs,
      ...move.totals,
      isWorse: move.evidence.verdict(WORSE_ALPHA) !== null,
      isNonInferior: move.evidence.isNonInferior(NON_INFERIORITY_MARGIN, NON_INFERIORITY_BETA),
    }, this.#options.limits());
    // Once decided, an end is final, whatever is counted until it is written.
    const end = move.end ?? step.end;
    const share = move.end === "rolled_back" ? 0 : step.share;
    if (share !== move.share || end !== move.end) {
      this.#options.log.state("move_step", {
        service,
        target: move.record.target,
        share,
        end,
        ...move.totals,
        elapsedMs: Math.round(now - move.startedAtMs),
      });
    }
    move.share = share;
    move.end = end;
    const wanted = end ?? "running";
    if (move.record.state !== wanted && !move.isRetained) {
      void this.#writeStatus(service, move, wanted, now);
    }
  }

  /** Writes the end of a move again when the store was restored to a state before it. */
  #writeEndAgain(service: ServiceId, move: OpenMove, now: number): void {
    const { target, state } = move.record;
    if (!isEnd(state) || move.shownState === state || move.isRetained) return;
    void this.#writeStatus(service, move, state, now);
    if (now - move.lastToldMs < TELL_END_INTERVAL_MS) return;
    move.lastToldMs = now;
    // The gateway that writes may have started after the restore, and may decide otherwise by what it has counted.
    const { network } = this.#options;
    const writer = network.linked().find(({ name }) => name === network.coordinatorOf(service));
    if (writer === undefined || writer.protocolVersion < MOVE_ENDS_SINCE_VERSION) return;
    network.send(writer.name, { kind: "move_ended", service, target, state });
  }

  /** Takes over the end of a move from a gateway that saw it in the store before the store was restored. */
  #learnEnd(peer: string, { service, target, state }: Omit<MoveEnded, "kind">): void {
    const move = this.#open.get(service);
    if (move === undefined || move.record.target !== target || isSettled(move.record)) return;
    this.#options.log.state("move_end_learned", { peer, service, target, state });
    move.record = { ...move.record, state };
  }

  async #writeStatus(
    service: ServiceId,
    move: OpenMove,
    state: MoveState,
    now: number,
  ): Promise<void> {
    const { network, store, log } = this.#options;
    if (network.coordinatorOf(service) !== network.name) return;
    if (move.isWriting || now - move.lastWriteMs < WRITE_RETRY_DELAY_MS) return;
    move.isWriting = true;
    move.lastWriteMs = now;
    try {
      const { record: { target }, position } = move;
      const result = await store.writeMoveStatus({ service, target, state }, position);
      log.state("move_status", { service, target, state, result, ...position });
    } catch (e) {
      // The next step retries, unless the view shows that the status was written.
      log.state("move_status_failed", { service, state, err: toWpError(e) });
    } finally {
      move.isWriting = false;
    }
  }

  #addCounts(service: ServiceId, counts: VersionCounts): void {
    const move = this.#open.get(service);
    if (move === undefined) return;
    move.evidence.add({ ...counts, version: move.record.target === counts.version ? NEW : OLD });
    move.totals.requests += counts.requests;
    if (counts.version !== move.record.target) return;
    move.totals.exposed += counts.requests;
    move.totals.bad += counts.failures + counts.slowFirstTokens;
  }

  #refresh(ended: ReadonlyMap<string, RetainedEnd>): void {
    for (const [name, reason] of ended) {
      this.#options.log.state("retained_order_ended", { kind: "moves", name, reason });
    }
    const retained = new Set(this.#orders.names);
    const seen = new Set<ServiceId>();
    for (const [name, item] of this.#orders.inForce) {
      seen.add(item.value.service);
      this.#applyOrder(item, retained.has(name));
    }
    for (const service of this.#open.keys()) if (!seen.has(service)) this.#open.delete(service);
  }

  #applyOrder({ value: record, revision }: ViewItem<MoveRecord>, isRetained: boolean): void {
    const known = this.#open.get(record.service);
    const { era } = this.#options.view.kinds.moves;
    if (known !== undefined && known.record.target === record.target) {
      const { state: reached } = known.record;
      const isLost = isSettled(known.record) && !isSettled(record) && era !== known.endEra;
      if (isLost && known.shownState === reached) {
        const { service, target } = record;
        this.#options.log.state("move_end_lost", { service, target, reached, state: record.state });
      }
      known.record = isLost ? { ...record, state: reached } : record;
      known.shownState = record.state;
      // A retained order is shown by an earlier era only.
      if (isSettled(record) && !isRetained) known.endEra = era;
      known.position = { era, revision };
      if (isRetained && !known.isRetained) {
        this.#options.log.state("order_retained", {
          service: record.service,
          target: record.target,
        });
      }
      known.isRetained = isRetained;
      return;
    }
    this.#options.log.state("move_ordered", { ...record, era, revision });
    this.#open.set(record.service, {
      record,
      shownState: record.state,
      endEra: isSettled(record) && !isRetained ? era : null,
      position: { era, revision },
      isRetained,
      startedAtMs: this.#options.clock.now(),
      evidence: new MoveEvidence({ from: OLD, to: NEW }),
      totals: { requests: 0, exposed: 0, bad: 0 },
      share: 0,
      end: null,
      lastWriteMs: -Infinity,
      lastToldMs: -Infinity,
      isWriting: false,
    });
  }
}

/** Key of all versions but the new one, which are compared with it together. */
const OLD = "old" as VersionId;
const NEW = "new" as VersionId;

function isSettled({ state }: MoveRecord): boolean {
  return isEnd(state);
}

function isEnd(state: MoveState | null): state is MoveEnded["state"] {
  return state === "completed" || state === "rolled_back";
}

function addCounts(a: VersionCounts, b: VersionCounts): VersionCounts {
  return {
    ...a,
    requests: a.requests + b.requests,
    failures: a.failures + b.failures,
    slowFirstTokens: a.slowFirstTokens + b.slowFirstTokens,
    gaps: a.gaps + b.gaps,
    slowGaps: a.slowGaps + b.slowGaps,
  };
}
