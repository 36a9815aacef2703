/**
 * Data of the operators' commands `status` and `watch`.
 *
 * @module
 */
import { type Clock, type Revision, revision } from "@wisteriapick/core";
import type { ObjectStore } from "@wisteriapick/clients";
import type { ConfigView, Move } from "./config_document.ts";
import type { ConfigState } from "./config_state.ts";
import type { EndpointStatus, FleetSource, ProcessStatus } from "./fleet_report.ts";
import { decodeLease } from "./lease.ts";
import { describeChange } from "./plan_preview.ts";

/** State of the whole system as one entry knows it. Times are in ms. */
export interface SystemStatus {
  readonly revision: Revision;
  /** Age of the last proof that this revision is the newest. */
  readonly asOfMs: number | null;
  readonly storeUp: boolean;
  readonly services: readonly {
    readonly id: string;
    readonly activeVersion: string;
    readonly endpoints: number;
    readonly running: number;
    readonly allowance: number;
  }[];
  readonly dataCentres: readonly {
    readonly id: string;
    readonly state: string;
    readonly endpoints: number;
    readonly running: number;
  }[];
  readonly endpoints: readonly (EndpointStatus & { readonly wantedVersion: string | null })[];
  readonly moves: readonly {
    readonly id: string;
    readonly service: string;
    readonly from: string;
    readonly to: string;
    readonly state: string;
    readonly share: number;
    readonly leftMs: number;
    readonly reason: string;
    readonly settled: boolean;
  }[];
  readonly leases: readonly {
    readonly duty: string;
    readonly holder: string;
    readonly fence: number;
  }[];
  readonly processes: readonly (ProcessStatus & { readonly behind: boolean })[];
}

/** One event of `watch`. */
export interface OperatorEvent {
  readonly revision: Revision;
  readonly atMs: number;
  readonly who: string;
  readonly why: string;
  readonly changes: readonly string[];
  /** Set when the event ends a move. */
  readonly moveEnded?: { readonly move: string; readonly outcome: string; readonly reason: string };
}

/** Sources of {@link readStatus}. */
export interface StatusSources {
  readonly state: ConfigState;
  readonly store: ObjectStore;
  readonly fleet: FleetSource;
  readonly clock: Clock;
}

/** Collects the status. Without the store, leases are left out and `storeUp` is false. */
export async function readStatus(
  { state, store, fleet, clock }: StatusSources,
): Promise<SystemStatus> {
  const view = state.current();
  const endpoints = fleet.endpoints();
  const [leases, processes] = await Promise.all([readLeases(store), fleet.processes()]);
  return {
    revision: view.revision,
    asOfMs: state.asOfMs(),
    storeUp: leases !== null,
    services: serviceStatuses(view, endpoints),
    dataCentres: dataCentreStatuses(view, endpoints),
    endpoints: endpoints.map((e) => ({
      ...e,
      wantedVersion: view.endpoints.get(e.endpoint)?.version ?? null,
    })),
    moves: [...view.moves.values()].map((m) => moveStatus(m, clock.wall())),
    leases: leases ?? [],
    processes: processes.map((p) => ({
      ...p,
      behind: p.revision === null || p.revision < view.revision,
    })),
  };
}

/** Shows an open move past its deadline as taken back by rule, which the log cannot record while the store is down. */
function moveStatus(move: Move, wallMs: number) {
  const leftMs = Math.max(0, move.deadlineMs - wallMs);
  if (move.state !== "open" || leftMs > 0) return { ...move, leftMs };
  return { ...move, leftMs, reason: "taken back by rule at its deadline; not settled yet" };
}

function serviceStatuses(view: ConfigView, endpoints: readonly EndpointStatus[]) {
  return [...view.services.values()].map(({ id, activeVersion }) => {
    const matching = endpoints.filter((e) => e.service === id);
    return {
      id,
      activeVersion,
      endpoints: matching.length,
      running: totalRunning(matching),
      allowance: totalAllowance(matching),
    };
  });
}

function dataCentreStatuses(view: ConfigView, endpoints: readonly EndpointStatus[]) {
  return [...view.dataCentres.values()].map(({ id, state }) => {
    const matching = endpoints.filter((e) => e.dataCentre === id);
    return { id, state, endpoints: matching.length, running: totalRunning(matching) };
  });
}

function totalRunning(endpoints: readonly EndpointStatus[]): number {
  return endpoints.reduce((s, e) => s + (e.running ?? 0), 0);
}

function totalAllowance(endpoints: readonly EndpointStatus[]): number {
  return endpoints.reduce((s, e) => s + (e.allowance ?? 0), 0);
}

async function readLeases(store: ObjectStore): Promise<SystemStatus["leases"] | null> {
  try {
    const { objects } = await store.list("leases/");
    return objects.map((obj) => {
      const { holder, fence } = decodeLease(obj);
      return { duty: obj.key.slice("leases/".length), holder, fence };
    });
  } catch {
    return null;
  }
}

/** Events after a revision from the configuration in force, oldest first. Waits up to `waitMs` for the first. */
export async function readEvents(
  state: ConfigState,
  clock: Clock,
  { after, waitMs = 0 }: { after: Revision; waitMs?: number },
): Promise<readonly OperatorEvent[]> {
  if (state.current().revision <= after && waitMs > 0) await waitForChange(state, clock, waitMs);
  // Older entries than those held are only in the log. `watch` starts at the current revision and misses none.
  const entries = state.entriesAfter(after) ?? state.entriesAfter(firstListedAfter(state)) ?? [];
  return entries.map(({ entry }) => ({
    revision: entry.revision,
    atMs: entry.note.atMs,
    who: entry.note.who,
    why: entry.note.why,
    changes: entry.changes.map((c) => describeChange(c, null)),
    moveEnded: entry.changes.map(moveEndOf).find((e) => e !== undefined),
  }));
}

function firstListedAfter(state: ConfigState): Revision {
  return state.revisionBeforeOldestEntry() ?? revision(state.current().revision);
}

function moveEndOf(change: { type: string; id?: unknown; reason?: string; outcome?: string }) {
  const outcomes: Record<string, string | undefined> = {
    finish_move: "finished",
    take_back_move: "taken_back",
    settle_move: change.outcome,
  };
  const outcome = outcomes[change.type];
  if (outcome === undefined) return undefined;
  return { move: String(change.id), outcome, reason: change.reason ?? "" };
}

function waitForChange(state: ConfigState, clock: Clock, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      undoTimer();
      undoListener();
      resolve();
    };
    const undoTimer = clock.setTimer(waitMs, finish);
    const undoListener = state.registerListener(finish);
  });
}
