/**
 * The operators' HTTP interface, which an entry registers as admin routes.
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
/** Longest time that one call waits for events. */
const MAX_EVENT_WAIT_MS = 20_000;

/** Handler of an admin route of the daemon's entry. */
export type OperatorHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  params: Readonly<Record<string, string | undefined>>,
  account: Account,
) => Promise<void>;

/** Registers a route that requires an operator's key. */
export type RegisterRoute = (
  method: "GET" | "POST",
  path: string,
  handler: OperatorHandler,
) => Undo;

/**
 * Reads a whole body of at most `maxBytes`, within the memory that all callers share.
 *
 * @throws WpFailure of type `refused` if it is too large, or there is no memory for it.
 */
export type ReadBody = (
  req: IncomingMessage,
  res: ServerResponse,
  options: { readonly maxBytes: number },
) => Promise<Buffer>;

/** Sources that the routes read from. */
export interface OperatorSources extends StatusSources {
  readonly plans: PlanManager;
  readonly readBody: ReadBody;
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
 * Registers the operators' routes.
 *
 * @example
 * ```ts
 * registerOperatorRoutes((m, p, h) => entry.registerAdminRoute(m, p, h), sources);
 * ```
 */
export function registerOperatorRoutes(register: RegisterRoute, sources: OperatorSources): Undo {
  const { plans, readBody, state, clock } = sources;
  const undos = [
    register(
      "POST",
      "/admin/plans",
      jsonHandler(async (req, _params, account, res) => {
        const body = await readBody(req, res, { maxBytes: MAX_BODY_BYTES });
        return plans.plan(parseIntent(parseJson(body)), account.id);
      }),
    ),
    register(
      "GET",
      "/admin/plans/:plan",
      jsonHandler((_req, params) => plans.read(planIdOf(params))),
    ),
    register(
      "POST",
      "/admin/plans/:plan/confirm",
      jsonHandler((_req, params, account) => {
        return plans.confirm(planIdOf(params), account.id);
      }),
    ),
    register("GET", "/admin/status", jsonHandler(() => readStatus(sources))),
    register(
      "GET",
      "/admin/events",
      jsonHandler((req) => {
        const query = new URL(req.url ?? "/", "http://entry").searchParams;
        const waitMs = Math.min(MAX_EVENT_WAIT_MS, Number(query.get("wait_ms") ?? 0) || 0);
        const after = query.get("after");
        const from = after === null ? state.current().revision : revision(Number(after));
        return readEvents(state, clock, { after: from, waitMs });
      }),
    ),
  ];
  return () => undos.forEach((undo) => undo());
}

type JsonOperation = (
  req: IncomingMessage,
  params: Readonly<Record<string, string | undefined>>,
  account: Account,
  res: ServerResponse,
) => unknown;

function jsonHandler(operation: JsonOperation): OperatorHandler {
  return async (req, res, params, account) => {
    try {
      sendJson(res, 200, await operation(req, params, account, res));
    } catch (e) {
      const err = toWpError(e);
      // The entry answers refusals of all its routes.
      if (err.type === "refused") throw e;
      sendJson(res, STATUS_CODES[err.type] ?? 500, err, "application/problem+json");
    }
  };
}

function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
  type = "application/json",
): void {
  res.writeHead(status, { "content-type": type });
  res.end(JSON.stringify(body));
}

function planIdOf(params: Readonly<Record<string, string | undefined>>) {
  return planId(params.plan ?? "");
}

function parseIntent(value: unknown) {
  const res = IntentSchema.safeParse(value);
  if (res.success) return res.data;
  const issues = res.error.issues.map((i) => ({ path: i.path.join("."), expected: i.message }));
  const message = issues.map((i) => `${i.path || "(top level)"}: ${i.expected}`).join("; ");
  raise({ type: "settings", message, file: "request", issues });
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    raise({ type: "invalid_change", message: "the request body is not JSON" });
  }
}
