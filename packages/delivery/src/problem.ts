/**
 * Problem documents: each refusal or failure as one JSON object that OpenAI-compatible clients understand too.
 *
 * @module
 */
import type { Refusal, RefusalReason } from "@wisteriapick/core";

const HTTP_STATUS_BY_REASON: Record<RefusalReason, number> = {
  unauthenticated: 401,
  forbidden: 403,
  unknown_service: 404,
  unknown_route: 404,
  invalid_request: 400,
  request_too_large: 413,
  account_rate_limit: 429,
  account_concurrency_limit: 429,
  account_token_limit: 429,
  overloaded: 503,
  host_overloaded: 503,
  queue_full: 503,
  cold_start: 503,
  memory_pressure: 503,
  descriptor_pressure: 503,
  deadline_exceeded: 504,
  data_centre_out: 503,
  endpoint_leaving: 503,
  version_withdrawn: 503,
  version_mismatch: 503,
  side_not_ready: 503,
  fenced: 409,
  no_endpoint: 503,
  hops_exhausted: 503,
  quarantined: 422,
  ejected: 503,
  draining: 503,
  not_ready: 503,
  engine_failed: 502,
  engine_lost: 502,
  side_lost: 502,
  link_lost: 502,
  upstream_failed: 502,
  generation_unknown: 404,
  resume_forbidden: 403,
  resume_expired: 410,
  cancelled: 409,
  idempotency_in_progress: 409,
  idempotency_mismatch: 422,
  idempotency_unavailable: 503,
  store_unavailable: 503,
  keys_unconfirmed: 503,
  internal: 500,
};

const RETRIABLE_STATUSES = new Set([409, 429, 500, 502, 503, 504]);

/** A problem document as JSON. */
export interface ProblemDocument {
  readonly type: RefusalReason;
  readonly title: string;
  readonly status: number;
  readonly not_run: boolean | "unknown";
  readonly retry_after_ms?: number;
  /** The same facts in the fields of the OpenAI API. */
  readonly error: {
    readonly message: string;
    readonly type: RefusalReason;
    readonly code: RefusalReason;
    readonly param: null;
  };
}

/** A complete HTTP response for a refusal. */
export interface ProblemResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Makes the problem document of a refusal. */
export function makeProblemDocument(refusal: Refusal): ProblemDocument {
  return {
    type: refusal.type,
    title: refusal.message,
    status: HTTP_STATUS_BY_REASON[refusal.type],
    not_run: refusal.notRun,
    ...(refusal.retryAfterMs === undefined ? {} : { retry_after_ms: refusal.retryAfterMs }),
    error: { message: refusal.message, type: refusal.type, code: refusal.type, param: null },
  };
}

/**
 * Makes the HTTP response for a refusal. Its `x-should-retry` header tells clients that retry by status whether a
 * retry is safe, which it is only where the request is proved not to have run.
 *
 * @example
 * ```ts
 * const { status, headers, body } = problemResponse(refusal);
 * res.writeHead(status, headers).end(body);
 * ```
 */
export function makeProblemResponse(refusal: Refusal): ProblemResponse {
  const status = HTTP_STATUS_BY_REASON[refusal.type];
  const headers: Record<string, string> = { "content-type": "application/problem+json" };
  if (RETRIABLE_STATUSES.has(status)) {
    headers["x-should-retry"] = refusal.notRun === true ? "true" : "false";
  }
  if (refusal.retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1_000)));
    headers["retry-after-ms"] = String(Math.ceil(refusal.retryAfterMs));
  }
  if (status === 401) headers["www-authenticate"] = "Bearer";
  return { status, headers, body: JSON.stringify(makeProblemDocument(refusal)) };
}
