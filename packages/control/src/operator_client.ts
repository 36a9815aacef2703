/**
 * Client of the operators' HTTP interface, used by the command line.
 *
 * @module
 */
import { raise, type Revision, type WpError, WpFailure } from "@wisteriapick/core";
import { request } from "undici";
import type { OperatorEvent, SystemStatus } from "./operator_status.ts";
import type { PlanConfirmation } from "./plan_manager.ts";
import type { Plan } from "./plan_types.ts";

/** URL of the entry and key of the operator. */
export interface OperatorClientOptions {
  readonly url: string;
  readonly key: string;
}

/** An intent as it may be sent: fields of the file that have a default may be left out. */
export type IntentInput = { readonly type: string } & Readonly<Record<string, unknown>>;

/**
 * Calls the operators' interface of one entry. Throws the typed error that the entry returns.
 *
 * @example
 * ```ts
 * const client = new OperatorClient({ url: "http://127.0.0.1:8080", key });
 * const plan = await client.plan({ type: "out", dataCentre: "accra-tema" });
 * await client.confirm(plan.id);
 * ```
 */
export class OperatorClient {
  readonly #url: string;
  readonly #key: string;

  constructor({ url, key }: OperatorClientOptions) {
    this.#url = url.replace(/\/$/, "");
    this.#key = key;
  }

  plan(intent: IntentInput): Promise<Plan> {
    return this.#call("POST", "/admin/plans", intent);
  }

  read(plan: string): Promise<Plan> {
    return this.#call("GET", `/admin/plans/${encodeURIComponent(plan)}`);
  }

  confirm(plan: string): Promise<PlanConfirmation> {
    return this.#call("POST", `/admin/plans/${encodeURIComponent(plan)}/confirm`);
  }

  status(): Promise<SystemStatus> {
    return this.#call("GET", "/admin/status");
  }

  /** Every table of the entry that responds, by name. */
  dump(): Promise<Record<string, Record<string, unknown>>> {
    return this.#call("GET", "/admin/dump");
  }

  /** Events after a revision, or after the current one. Waits up to `waitMs` for the first. */
  events(
    { after, waitMs = 0 }: { after?: Revision; waitMs?: number } = {},
  ): Promise<OperatorEvent[]> {
    const query = new URLSearchParams({ wait_ms: String(waitMs) });
    if (after !== undefined) query.set("after", String(after));
    return this.#call("GET", `/admin/events?${query}`);
  }

  async #call<T>(method: "GET" | "POST", path: string, body?: unknown): Promise<T> {
    const headers = { authorization: `Bearer ${this.#key}`, "content-type": "application/json" };
    const text = body === undefined ? undefined : JSON.stringify(body);
    let res;
    try {
      res = await request(this.#url + path, { method, headers, body: text });
    } catch (e) {
      raise({ type: "unreachable", message: `${this.#url}: ${(e as Error).message}` });
    }
    const value = await res.body.json() as T & WpError;
    if (res.statusCode >= 200 && res.statusCode < 300) return value;
    throw new WpFailure(value);
  }
}

/**
 * The next moment at which the local clock shows `HH:MM`, as Unix ms. Also accepts a full ISO date and time. Raises
 * `invalid_change` for any other text.
 *
 * @example
 * ```ts
 * parseDeadline("18:00", Date.now());
 * ```
 */
export function parseDeadline(text: string, nowMs: number): number {
  const hourAndMinute = /^([01]?\d|2[0-3]):([0-5]\d)$/.exec(text);
  if (hourAndMinute === null) {
    const at = Date.parse(text);
    if (Number.isNaN(at)) {
      raise({ type: "invalid_change", message: `"${text}" is neither HH:MM nor a date and time` });
    }
    return at;
  }
  const at = new Date(nowMs);
  at.setHours(Number(hourAndMinute[1]), Number(hourAndMinute[2]), 0, 0);
  if (at.getTime() <= nowMs) at.setDate(at.getDate() + 1);
  return at.getTime();
}
