/**
 * `status` and `watch`: what operators see.
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

/** State of the whole system as one entry sees it. Times are ms. */
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

/** Collects the status. Works without the store: leases are then left out and `storeUp` is false. */
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
    services: serviceLines(view, endpoints),
    dataCentres: centreLines(view, endpoints),
    endpoints: endpoints.map((e) => ({
      ...e,
      wantedVersion: view.endpoints.get(e.endpoint)?.version ?? null,
    })),
    moves: [...view.moves.values()].map((m) => moveLine(m, clock.wall())),
    leases: leases ?? [],
    processes: processes.map((p) => ({
      ...p,
      behind: p.revision === null || p.revision < view.revision,
    })),
  };
}

/** The log cannot say it while the store is down: past its deadline an open move has been taken back by rule. */
function moveLine(move: Move, wallMs: number) {
  const leftMs = Math.max(0, move.deadlineMs - wallMs);
  if (move.state !== "open" || leftMs > 0) return { ...move, leftMs };
  return { ...move, leftMs, reason: "taken back by rule at its deadline; not settled yet" };
}

function serviceLines(view: ConfigView, endpoints: readonly EndpointStatus[]) {
  return [...view.services.values()].map(({ id, activeVersion }) => {
    const own = endpoints.filter((e) => e.service === id);
    return {
      id,
      activeVersion,
      endpoints: own.length,
      running: running(own),
      allowance: bears(own),
    };
  });
}

function centreLines(view: ConfigView, endpoints: readonly EndpointStatus[]) {
  return [...view.dataCentres.values()].map(({ id, state }) => {
    const own = endpoints.filter((e) => e.dataCentre === id);
    return { id, state, endpoints: own.length, running: running(own) };
  });
}

function running(endpoints: readonly EndpointStatus[]): number {
  return endpoints.reduce((s, e) => s + (e.running ?? 0), 0);
}

function bears(endpoints: readonly EndpointStatus[]): number {
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

/** Events after a revision, oldest first; waits up to `waitMs` for one. From the configuration in force. */
export async function readEvents(
  state: ConfigState,
  clock: Clock,
  { after, waitMs = 0 }: { after: Revision; waitMs?: number },
): Promise<readonly OperatorEvent[]> {
  if (state.current().revision <= after && waitMs > 0) await nextChange(state, clock, waitMs);
  // Older entries than those held are in the log; `watch` starts at the present and misses none.
  const entries = state.entriesAfter(after) ?? state.entriesAfter(oldestHeld(state)) ?? [];
  return entries.map(({ entry }) => ({
    revision: entry.revision,
    atMs: entry.note.atMs,
    who: entry.note.who,
    why: entry.note.why,
    changes: entry.changes.map((c) => describeChange(c, null)),
    moveEnded: entry.changes.map(moveEnd).find((e) => e !== undefined),
  }));
}

function oldestHeld(state: ConfigState): Revision {
  return state.revisionBeforeOldestEntry() ?? revision(state.current().revision);
}

function moveEnd(change: { type: string; id?: unknown; reason?: string; outcome?: string }) {
  const ended: Record<string, string | undefined> = {
    finish_move: "finished",
    take_back_move: "taken_back",
    settle_move: change.outcome,
  };
  const outcome = ended[change.type];
  if (outcome === undefined) return undefined;
  return { move: String(change.id), outcome, reason: change.reason ?? "" };
}

function nextChange(state: ConfigState, clock: Clock, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const done = () => {
      undoTimer();
      undoListener();
      resolve();
    };
    const undoTimer = clock.setTimer(waitMs, done);
    const undoListener = state.registerListener(done);
  });
}
