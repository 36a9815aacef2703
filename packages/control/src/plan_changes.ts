/**
 * Turns an intent into changes, and names the state that the intent stands on.
 *
 * @module
 */
import { type MoveId, moveId, type PlanId, raise } from "@wisteriapick/core";
import type { Change } from "./changes.ts";
import type { ConfigView } from "./config_document.ts";
import type { ApplyFile, Intent } from "./plan_types.ts";

/** Share with which a move starts. */
export const INITIAL_SHARE = 0.01;

/** Id of the move that a plan opens: the same each time the plan is confirmed. */
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

/** Puts of what differs, in an order in which each change finds what it needs. */
function applyFileChanges(file: ApplyFile, view: ConfigView): Change[] {
  const changes: Change[] = [];
  for (const dc of file.dataCentres) {
    const old = view.dataCentres.get(dc.id);
    const dataCentre = { ...dc, state: old?.state ?? "in", sinceMs: old?.sinceMs ?? 0 };
    if (!same(old, dataCentre)) changes.push({ type: "put_data_centre", dataCentre });
  }
  for (const service of file.services) {
    if (!same(view.services.get(service.id), service)) {
      changes.push({ type: "put_service", service });
    }
  }
  for (const account of file.accounts) {
    if (!same(view.accounts.get(account.id), account)) {
      changes.push({ type: "put_account", account });
    }
  }
  for (const endpoint of file.endpoints) {
    if (!same(view.endpoints.get(endpoint.id), endpoint)) {
      changes.push({ type: "put_endpoint", endpoint });
    }
  }
  return changes;
}

function same(a: unknown, b: unknown): boolean {
  return a !== undefined && canonical(a) === canonical(b);
}

/** JSON with sorted keys, so that equal values give equal text. */
function canonical(value: unknown): string {
  return JSON.stringify(
    value,
    (_key, v) =>
      v !== null && typeof v === "object" && !Array.isArray(v)
        ? Object.fromEntries(Object.entries(v).sort(([a], [b]) => a < b ? -1 : 1))
        : v,
  );
}

/** The state that an intent stands on: name to a short text that people can compare. */
export function groundOf(intent: Intent, view: ConfigView): Record<string, string> {
  switch (intent.type) {
    case "out":
    case "in":
      return centreGround(view);
    case "move":
      return {
        ...serviceGround(intent.service, view),
        ...centreGround(view),
      };
    case "take_back": {
      const move = view.moves.get(intent.move);
      return { [`move ${intent.move}`]: move?.state ?? "absent" };
    }
    case "apply":
      return applyGround(intent.file, view);
  }
}

function centreGround(view: ConfigView): Record<string, string> {
  const ground: Record<string, string> = {};
  for (const dc of view.dataCentres.values()) ground[`data centre ${dc.id}`] = dc.state;
  return ground;
}

function serviceGround(id: string, view: ConfigView): Record<string, string> {
  const service = [...view.services.values()].find((s) => s.id === id);
  const moves = [...view.moves.values()].filter((m) => m.service === id && !m.settled);
  return {
    [`service ${id}`]: service === undefined ? "absent" : canonical(service),
    [`moves of service ${id}`]: moves.map((m) => m.id).join(", ") || "none open",
  };
}

function applyGround(file: ApplyFile, view: ConfigView): Record<string, string> {
  const ground: Record<string, string> = {};
  const add = (name: string, value: unknown) => {
    ground[name] = value === undefined ? "absent" : canonical(value);
  };
  for (const s of file.services) Object.assign(ground, serviceGround(s.id, view));
  for (const a of file.accounts) add(`client account ${a.id}`, view.accounts.get(a.id));
  for (const e of file.endpoints) add(`endpoint ${e.id}`, view.endpoints.get(e.id));
  for (const d of file.dataCentres) {
    add(`region of data centre ${d.id}`, view.dataCentres.get(d.id)?.region);
  }
  return ground;
}

/** What changed between the ground of a plan and the present one, one line each. */
export function groundChanges(
  before: Readonly<Record<string, string>>,
  now: Readonly<Record<string, string>>,
): string[] {
  const names = new Set([...Object.keys(before), ...Object.keys(now)]);
  return [...names].filter((n) => before[n] !== now[n]).map((n) =>
    `${n}: was ${before[n] ?? "absent"}, is ${now[n] ?? "absent"}`
  );
}

/** Raises `plan_stale` with what changed when the ground differs. */
export function requireGround(
  before: Readonly<Record<string, string>>,
  now: Readonly<Record<string, string>>,
): void {
  const changed = groundChanges(before, now);
  if (changed.length === 0) return;
  raise({
    type: "plan_stale",
    message: `the plan's ground has changed: ${changed.join("; ")}`,
    changed,
  });
}
