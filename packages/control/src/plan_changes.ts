/**
 * Derives the changes of an intent, and the preconditions under which they were planned.
 *
 * @module
 */
import { type MoveId, moveId, type PlanId, raise } from "@wisteriapick/core";
import type { Change } from "./changes.ts";
import type { ConfigView } from "./config_document.ts";
import type { ApplyFile, Intent } from "./plan_types.ts";

/** Share of the traffic with which a move starts. */
export const INITIAL_SHARE = 0.01;

/** Id of the move that a plan opens, the same each time the plan is confirmed. */
export function moveIdOf(plan: PlanId): MoveId {
  return moveId(`m-${plan}`);
}

/** The changes of an intent at Unix time `wallMs`. */
export function changesOf(
  plan: PlanId,
  intent: Intent,
  view: ConfigView,
  wallMs: number,
): Change[] {
  switch (intent.type) {
    case "out":
      return [{
        type: "set_data_centre_state",
        id: intent.dataCentre,
        state: "out",
        atMs: wallMs,
      }];
    case "in":
      return [{
        type: "set_data_centre_state",
        id: intent.dataCentre,
        state: "returning",
        atMs: wallMs,
      }];
    case "move":
      return [{
        type: "open_move",
        move: {
          id: moveIdOf(plan),
          service: intent.service,
          from: intent.from,
          to: intent.to,
          startMs: wallMs,
          deadlineMs: intent.byMs,
          share: INITIAL_SHARE,
          state: "open",
          reason: "",
          settled: false,
        },
      }];
    case "take_back":
      return [{ type: "take_back_move", id: intent.move, reason: "taken back by an operator" }];
    case "apply":
      return applyFileChanges(intent.file, view);
  }
}

/** Put changes for the entities that differ, ordered so that each change comes after those it refers to. */
function applyFileChanges(file: ApplyFile, view: ConfigView): Change[] {
  const changes: Change[] = [];
  for (const dc of file.dataCentres) {
    const old = view.dataCentres.get(dc.id);
    const dataCentre = { ...dc, state: old?.state ?? "in", sinceMs: old?.sinceMs ?? 0 };
    if (!isSame(old, dataCentre)) changes.push({ type: "put_data_centre", dataCentre });
  }
  for (const service of file.services) {
    if (!isSame(view.services.get(service.id), service)) {
      changes.push({ type: "put_service", service });
    }
  }
  for (const account of file.accounts) {
    if (!isSame(view.accounts.get(account.id), account)) {
      changes.push({ type: "put_account", account });
    }
  }
  for (const endpoint of file.endpoints) {
    if (!isSame(view.endpoints.get(endpoint.id), endpoint)) {
      changes.push({ type: "put_endpoint", endpoint });
    }
  }
  return changes;
}

function isSame(a: unknown, b: unknown): boolean {
  return a !== undefined && canonicalJson(a) === canonicalJson(b);
}

/** JSON with sorted keys, so that equal values give equal texts. */
function canonicalJson(value: unknown): string {
  return JSON.stringify(
    value,
    (_key, v) =>
      v !== null && typeof v === "object" && !Array.isArray(v)
        ? Object.fromEntries(Object.entries(v).sort(([a], [b]) => a < b ? -1 : 1))
        : v,
  );
}

/**
 * The state that an intent depends on: by name, a short text that people can compare. Names and texts are stored
 * with plans and compared by other versions of this program.
 */
export function preconditionsOf(intent: Intent, view: ConfigView): Record<string, string> {
  switch (intent.type) {
    case "out":
    case "in":
      return dataCentrePreconditions(view);
    case "move":
      return {
        ...servicePreconditions(intent.service, view),
        ...dataCentrePreconditions(view),
      };
    case "take_back": {
      const move = view.moves.get(intent.move);
      return { [`move ${intent.move}`]: move?.state ?? "absent" };
    }
    case "apply":
      return filePreconditions(intent.file, view);
  }
}

function dataCentrePreconditions(view: ConfigView): Record<string, string> {
  const preconditions: Record<string, string> = {};
  for (const dc of view.dataCentres.values()) preconditions[`data centre ${dc.id}`] = dc.state;
  return preconditions;
}

function servicePreconditions(id: string, view: ConfigView): Record<string, string> {
  const service = [...view.services.values()].find((s) => s.id === id);
  const moves = [...view.moves.values()].filter((m) => m.service === id && !m.settled);
  return {
    [`service ${id}`]: service === undefined ? "absent" : canonicalJson(service),
    [`moves of service ${id}`]: moves.map((m) => m.id).join(", ") || "none open",
  };
}

function filePreconditions(file: ApplyFile, view: ConfigView): Record<string, string> {
  const preconditions: Record<string, string> = {};
  const add = (name: string, value: unknown) => {
    preconditions[name] = value === undefined ? "absent" : canonicalJson(value);
  };
  for (const s of file.services) Object.assign(preconditions, servicePreconditions(s.id, view));
  for (const a of file.accounts) add(`client account ${a.id}`, view.accounts.get(a.id));
  for (const e of file.endpoints) add(`endpoint ${e.id}`, view.endpoints.get(e.id));
  for (const d of file.dataCentres) {
    add(`region of data centre ${d.id}`, view.dataCentres.get(d.id)?.region);
  }
  return preconditions;
}

/** Differences between the preconditions of a plan and the current ones, one line each. */
export function preconditionChanges(
  before: Readonly<Record<string, string>>,
  now: Readonly<Record<string, string>>,
): string[] {
  const names = new Set([...Object.keys(before), ...Object.keys(now)]);
  return [...names].filter((n) => before[n] !== now[n]).map((n) =>
    `${n}: was ${before[n] ?? "absent"}, is ${now[n] ?? "absent"}`
  );
}

/** Raises `plan_stale`, with the differences, when the preconditions differ. */
export function requirePreconditions(
  before: Readonly<Record<string, string>>,
  now: Readonly<Record<string, string>>,
): void {
  const changed = preconditionChanges(before, now);
  if (changed.length === 0) return;
  raise({
    type: "plan_stale",
    message: `the plan's preconditions have changed: ${changed.join("; ")}`,
    changed,
  });
}
