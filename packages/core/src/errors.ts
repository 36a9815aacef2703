/**
 * The errors of the system. Every failure has a stable `type`; strings are never thrown.
 *
 * @module
 */

/** Whether a request did not run. `true` only if this is proved, `"unknown"` if it may have run. */
export type NotRun = true | false | "unknown";

/** Reasons for which a request is refused or fails. Each has a metrics counter and is the `type` of a problem response. */
export const REFUSAL_REASONS = [
  "unauthenticated",
  "forbidden",
  "unknown_service",
  "unknown_route",
  "invalid_request",
  "request_too_large",
  "account_rate_limit",
  "account_concurrency_limit",
  "account_token_limit",
  "overloaded",
  "host_overloaded",
  "queue_full",
  "cold_start",
  "memory_pressure",
  "descriptor_pressure",
  "deadline_exceeded",
  "data_centre_out",
  "endpoint_leaving",
  "version_withdrawn",
  "version_mismatch",
  "side_not_ready",
  "fenced",
  "no_endpoint",
  "hops_exhausted",
  "quarantined",
  "ejected",
  "draining",
  "not_ready",
  "engine_failed",
  "engine_lost",
  "side_lost",
  "link_lost",
  "upstream_failed",
  "generation_unknown",
  "resume_forbidden",
  "resume_expired",
  "cancelled",
  "idempotency_in_progress",
  "idempotency_mismatch",
  "idempotency_unavailable",
  "store_unavailable",
  "internal",
  "keys_unconfirmed",
] as const;

/** One of {@link REFUSAL_REASONS}. */
export type RefusalReason = typeof REFUSAL_REASONS[number];

/** A refusal or failure of one request. `retryAfterMs` is present if a later attempt may succeed. */
export interface Refusal {
  readonly type: RefusalReason;
  readonly message: string;
  readonly notRun: NotRun;
  readonly retryAfterMs?: number;
}

/** A wrong value in a settings or configuration file. `path` is the dotted path of its key. */
export interface SettingsIssue {
  readonly path: string;
  readonly expected: string;
}

/** Reasons for which a link is closed. */
export type LinkReason =
  | "frame_too_large"
  | "frame_malformed"
  | "frame_truncated"
  | "protocol_version"
  | "authentication"
  | "handshake_timeout"
  | "heartbeat_timeout"
  | "flow_control"
  | "too_many"
  | "connect_failed"
  | "closed";

/** Union of all errors of the system. */
export type WpError =
  | { readonly type: "invalid_id"; readonly message: string }
  | { readonly type: "invariant"; readonly message: string }
  | { readonly type: "duplicate_registration"; readonly message: string }
  | { readonly type: "unknown_command"; readonly message: string }
  | {
    readonly type: "settings";
    readonly message: string;
    readonly file: string;
    readonly issues: readonly SettingsIssue[];
  }
  | { readonly type: "link"; readonly message: string; readonly reason: LinkReason }
  | { readonly type: "refused"; readonly message: string; readonly refusal: Refusal }
  | { readonly type: "store_unavailable"; readonly message: string }
  | { readonly type: "store_outcome_unknown"; readonly message: string }
  | {
    readonly type: "store_conflict";
    readonly message: string;
    readonly currentVersion: number | null;
  }
  | { readonly type: "store_value_too_large"; readonly message: string }
  | { readonly type: "rate_limited"; readonly message: string; readonly retryAfterMs: number }
  | { readonly type: "fenced"; readonly message: string; readonly highest: number }
  | { readonly type: "engine"; readonly message: string; readonly status: number }
  /** `sent` is false if the request is known not to have left this process. */
  | { readonly type: "unreachable"; readonly message: string; readonly sent?: boolean }
  | { readonly type: "timeout"; readonly message: string; readonly sent?: boolean }
  | { readonly type: "plan_stale"; readonly message: string; readonly changed: readonly string[] }
  | { readonly type: "invalid_change"; readonly message: string }
  | { readonly type: "not_found"; readonly message: string };

/** An `Error` that carries a {@link WpError}. */
export class WpFailure extends Error {
  readonly err: WpError;

  constructor(err: WpError, options?: ErrorOptions) {
    super(err.message, options);
    this.name = "WpFailure";
    this.err = err;
  }
}

/**
 * Throws a {@link WpFailure}.
 *
 * @example
 * ```ts
 * raise({ type: "not_found", message: "no service scribe" });
 * ```
 */
export function raise(err: WpError): never {
  throw new WpFailure(err);
}

/** Throws a {@link WpFailure} for a refused request, for example `refuse({ type: "overloaded", … })`. */
export function refuse(refusal: Refusal): never {
  throw new WpFailure({ type: "refused", message: refusal.message, refusal });
}

/**
 * Converts any thrown value to a {@link WpError}; one that is no {@link WpFailure} becomes an `invariant` error.
 *
 * @example
 * ```ts
 * try { run(); } catch (e) { log.warn({ err: toWpError(e) }); }
 * ```
 */
export function toWpError(e: unknown): WpError {
  if (e instanceof WpFailure) return e.err;
  const message = e instanceof Error ? e.message : String(e);
  return { type: "invariant", message };
}

/** Returns the refusal carried by `e`, or else an `internal` refusal with the given `notRun`. */
export function toRefusal(e: unknown, notRun: NotRun): Refusal {
  const err = toWpError(e);
  if (err.type === "refused") return err.refusal;
  return { type: "internal", message: "internal error", notRun };
}
