/**
 * The preview of a plan: changes, load on the remaining endpoints, what cannot be known, and warnings.
 *
 * @module
 */
import type { DataCentreId } from "@wisteriapick/core";
import type { Change } from "./changes.ts";
import type { ConfigView } from "./config_document.ts";
import type { EndpointStatus } from "./fleet_report.ts";
import type { Intent, LoadLine, Plan } from "./plan_types.ts";

/** Load above this fraction of the remaining allowance gives a warning. */
const HIGH_LOAD_FRACTION = 0.8;
/** Shortest time that a move needs for its steps and its margin. */
const MIN_MOVE_MS = 180_000;

/** The fields of a plan that are computed from the current state. */
export type Preview = Pick<Plan, "changes" | "load" | "unknown" | "warnings">;

/** Computes the preview at Unix time `wallMs`. */
export function previewOf(
  intent: Intent,
  changes: readonly Change[],
  view: ConfigView,
  endpoints: readonly EndpointStatus[],
  wallMs: number,
): Preview {
  const load = loadOfServices(view, endpoints, {
    leaving: intent.type === "out" ? intent.dataCentre : null,
    returning: intent.type === "in" ? intent.dataCentre : null,
  });
  return {
    changes: changes.map((c) => describeChange(c, view)),
    load: intent.type === "out" || intent.type === "in" ? load : [],
    unknown: unknownsOf(intent, endpoints),
    warnings: [
      ...(intent.type === "out" ? outWarnings(view, load) : []),
      ...(intent.type === "move" ? moveWarnings(intent, view, endpoints, wallMs) : []),
      ...(changes.length === 0 ? ["nothing will change"] : []),
    ],
  };
}

/** Per service: concurrent requests now in all usable data centres, and the allowance that remains for them. */
function loadOfServices(
  view: ConfigView,
  endpoints: readonly EndpointStatus[],
  { leaving, returning }: { leaving: DataCentreId | null; returning: DataCentreId | null },
): LoadLine[] {
  const usable = (e: EndpointStatus) =>
    e.dataCentre === returning || view.dataCentres.get(e.dataCentre)?.state !== "out";
  return [...view.services.keys()].map((service) => {
    const all = endpoints.filter((e) => e.service === service && usable(e));
    const remaining = all.filter((e) => e.dataCentre !== leaving && !e.leaving && e.owned);
    return {
      service,
      mustBear: sum(all.map((e) => (e.running ?? 0) + (e.queued ?? 0))),
      canBear: sum(remaining.map((e) => e.allowance ?? 0)),
      endpoints: remaining.length,
    };
  });
}

function outWarnings(view: ConfigView, load: readonly LoadLine[]): string[] {
  const warnings: string[] = [];
  for (const line of load) {
    if (line.endpoints === 0) warnings.push(`service ${line.service} will have no endpoint left`);
    else if (line.mustBear > line.canBear) {
      warnings.push(
        `service ${line.service} will be overloaded: ` +
          `${line.mustBear} concurrent requests on an allowance of ${line.canBear}`,
      );
    } else if (line.mustBear > HIGH_LOAD_FRACTION * line.canBear) {
      warnings.push(
        `service ${line.service} will be above ${HIGH_LOAD_FRACTION * 100}% of its allowance`,
      );
    }
  }
  for (const dc of view.dataCentres.values()) {
    if (dc.state === "out") warnings.push(`data centre ${dc.id} is out already`);
    if (dc.state === "returning") warnings.push(`data centre ${dc.id} is still returning`);
  }
  return warnings;
}

function moveWarnings(
  intent: Extract<Intent, { type: "move" }>,
  view: ConfigView,
  endpoints: readonly EndpointStatus[],
  wallMs: number,
): string[] {
  const warnings: string[] = [];
  const running = endpoints.filter((e) => e.service === intent.service && e.version === intent.to);
  const ordered = [...view.endpoints.values()].filter((e) =>
    e.service === intent.service && e.version === intent.to
  );
  if (running.length === 0) {
    warnings.push(`no endpoint of service ${intent.service} runs version ${intent.to} now`);
  }
  if (ordered.length === 0) {
    warnings.push(`the configuration assigns no endpoint to version ${intent.to}`);
  }
  const all = endpoints.filter((e) => e.service === intent.service);
  const load = sum(all.map((e) => e.running ?? 0));
  const sustained = sum(running.map((e) => e.allowance ?? 0));
  if (sustained < load) {
    warnings.push(`version ${intent.to} sustains ${sustained} of ${load} concurrent requests now`);
  }
  if (intent.byMs - wallMs < MIN_MOVE_MS) {
    warnings.push(`the time allowed is short: a move needs at least ${MIN_MOVE_MS / 1_000} s`);
  }
  return warnings;
}

function unknownsOf(intent: Intent, endpoints: readonly EndpointStatus[]): string[] {
  const lines: string[] = [];
  const silent = endpoints.filter((e) => e.allowance === null);
  if (silent.length > 0) {
    lines.push(`load and allowance of ${silent.length} endpoints that have not reported`);
  }
  if (intent.type === "out" || intent.type === "in") {
    lines.push("future traffic, and the length of generations that run");
  }
  if (intent.type === "out") lines.push("how soon cold endpoints will sustain more load");
  if (intent.type === "in") lines.push("how cold the endpoints of the data centre are");
  if (intent.type === "move") lines.push("how the new version behaves under the full load");
  return lines;
}

/** Describes a change in one line. `view` is the configuration it will apply to, `null` for one already applied. */
export function describeChange(change: Change, view: ConfigView | null): string {
  switch (change.type) {
    case "put_service":
      return `${verbOf(view?.services.has(change.service.id))} service ${change.service.id}`;
    case "put_account":
      return `${verbOf(view?.accounts.has(change.account.id))} client account ${change.account.id}`;
    case "put_endpoint":
      return `${verbOf(view?.endpoints.has(change.endpoint.id))} endpoint ${change.endpoint.id} ` +
        `at version ${change.endpoint.version}`;
    case "put_data_centre":
      return `${
        verbOf(view?.dataCentres.has(change.dataCentre.id))
      } data centre ${change.dataCentre.id}`;
    case "set_data_centre_state": {
      const old = view?.dataCentres.get(change.id)?.state;
      const from = old === undefined ? "" : `${old} to `;
      return `data centre ${change.id}: ${from}${change.state}`;
    }
    case "open_move": {
      const m = change.move;
      const by = new Date(m.deadlineMs).toISOString();
      return `move ${m.id}: service ${m.service} from ${m.from} to ${m.to} by ${by}`;
    }
    case "advance_move":
      return `move ${change.id}: share ${Math.round(change.share * 100)}%`;
    case "finish_move":
      return `move ${change.id} is finished: ${change.reason}`;
    case "take_back_move":
      return `move ${change.id} is taken back: ${change.reason}`;
    case "settle_move":
      return `move ${change.id} is settled as ${change.outcome}: ${change.reason}`;
    default:
      return `${change.type.replaceAll("_", " ")} ${change.id}`;
  }
}

function verbOf(exists: boolean | undefined): string {
  if (exists === undefined) return "put";
  return exists ? "change" : "create";
}

function sum(values: readonly number[]): number {
  return values.reduce((s, v) => s + v, 0);
}
