/**
 * The operators' HTTP interface, to be plugged into an entry's admin routes.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Account } from "./config_document.ts";
import { planId, raise, revision, toWpError, type Undo, type WpError } from "@wisteriapick/core";
import { readEvents, readStatus, type StatusSources } from "./operator_status.ts";
import type { PlanManager } from "./plan_manager.ts";
import { IntentSchema } from "./plan_types.ts";

const MAX_BODY_BYTES = 1_000_000;
/** Longest wait of one call for events. */
const MAX_WAIT_MS = 20_000;

/** Handler of an admin route, as the daemon's entry takes it. */
export type OperatorHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  params: Readonly<Record<string, string | undefined>>,
  account: Account,
) => Promise<void>;

/** Registers a route behind the operator key. */
export type RegisterRoute = (
  method: "GET" | "POST",
  path: string,
  handler: OperatorHandler,
) => Undo;

/** What the routes need. */
export interface OperatorSources extends StatusSources {
  readonly plans: PlanManager;
}

const STATUS_CODES: Partial<Record<WpError["type"], number>> = {
  invalid_change: 422,
  invalid_id: 422,
  plan_stale: 409,
  not_found: 404,
  settings: 400,
  store_unavailable: 503,
  store_outcome_unknown: 503,
  rate_limited: 503,
};

/**
 * Adds the operators' routes.
 *
 * @example
 * ```ts
 * registerOperatorRoutes((m, p, h) => entry.registerAdminRoute(m, p, h), sources);
 * ```
 */
export function registerOperatorRoutes(register: RegisterRoute, sources: OperatorSources): Undo {
  const { plans, state, clock } = sources;
  const undos = [
    register(
      "POST",
      "/admin/plans",
      answer(async (req, _params, account) => {
        return plans.plan(parseIntent(await readJson(req)), account.id);
      }),
    ),
    register("GET", "/admin/plans/:plan", answer((_req, params) => plans.read(planOf(params)))),
    register(
      "POST",
      "/admin/plans/:plan/confirm",
      answer((_req, params, account) => {
        return plans.confirm(planOf(params), account.id);
      }),
    ),
    register("GET", "/admin/status", answer(() => readStatus(sources))),
    register(
      "GET",
      "/admin/events",
      answer((req) => {
        const query = new URL(req.url ?? "/", "http://entry").searchParams;
        const waitMs = Math.min(MAX_WAIT_MS, Number(query.get("wait_ms") ?? 0) || 0);
        const after = query.get("after");
        const from = after === null ? state.current().revision : revision(Number(after));
        return readEvents(state, clock, { after: from, waitMs });
      }),
    ),
  ];
  return () => undos.forEach((undo) => undo());
}

type Work = (
  req: IncomingMessage,
  params: Readonly<Record<string, string | undefined>>,
  account: Account,
) => unknown;

function answer(work: Work): OperatorHandler {
  return async (req, res, params, account) => {
    try {
      send(res, 200, await work(req, params, account));
    } catch (e) {
      const err = toWpError(e);
      send(res, STATUS_CODES[err.type] ?? 500, err, "application/problem+json");
    }
  };
}

function send(res: ServerResponse, status: number, body: unknown, type = "application/json"): void {
  res.writeHead(status, { "content-type": type });
  res.end(JSON.stringify(body));
}

function planOf(params: Readonly<Record<string, string | undefined>>) {
  return planId(params.plan ?? "");
}

function parseIntent(value: unknown) {
  const res = IntentSchema.safeParse(value);
  if (res.success) return res.data;
  const issues = res.error.issues.map((i) => ({ path: i.path.join("."), expected: i.message }));
  const message = issues.map((i) => `${i.path || "(top level)"}: ${i.expected}`).join("; ");
  raise({ type: "settings", message, file: "request", issues });
}

async function readJson(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) {
      raise({ type: "invalid_change", message: "the request is too large" });
    }
    chunks.push(chunk);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString("utf8"));
  } catch {
    raise({ type: "invalid_change", message: "the request body is not JSON" });
  }
}
