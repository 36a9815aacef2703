/**
 * State and helpers that the request handlers of an entry share.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type EndpointId,
  type Logger,
  type Metrics,
  refuse,
  type RequestId,
  type ServiceId,
  type Table,
  type VersionId,
  type World,
} from "@wisteriapick/core";
import type { Account, ConfigSource, ConfigView, Service } from "@wisteriapick/control";
import type { BodyRoom } from "@wisteriapick/http";
import { type ServiceShares, SHARE_HOLD_MS } from "@wisteriapick/policy";
import type { AccountLimiter } from "./account_limiter.ts";
import type { VersionChooser } from "./entry_versions.ts";

/** Row of the `requests` table, which operators can dump. */
export interface RequestRow {
  readonly account: string;
  readonly service: string;
  readonly sinceMs: number;
}

/** Shared state of one entry. */
export interface EntryContext {
  readonly config: ConfigSource;
  readonly world: World;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly versions: VersionChooser;
  readonly accounts: AccountLimiter;
  readonly shares: ServiceShares;
  /** Reads bodies that are kept whole. */
  readonly bodies: BodyRoom;
  readonly requests: Table<RequestId, RequestRow>;
  readonly makeId: (prefix: string) => string;
  /** Requests that the endpoints of a service sustain together, as they last said; 0 if nothing is known of them. */
  placesOf(service: ServiceId): number;
  /** The version that an endpoint is known to run. */
  versionOf(endpoint: EndpointId): VersionId | null;
  /** Endpoints that a request must not be sent to, as their data centre is returning and takes only a share. */
  ineligibleEndpoints(view: ConfigView, service: ServiceId, id: RequestId): ReadonlySet<EndpointId>;
  /** Refuses new work while the entry is stopping or has no recent configuration. */
  assertServing(): void;
}

/** Versions that may serve a request, the preferred one first. Refuses with `version_withdrawn` where there is none. */
export function chooseVersions(
  ctx: EntryContext,
  view: ConfigView,
  service: Service,
  id: RequestId,
): readonly VersionId[] {
  const versions = ctx.versions.choose(view, service, id);
  if (versions.length > 0) return versions;
  const message = `no version of ${service.id} may serve requests at present`;
  refuse({ type: "version_withdrawn", message, notRun: true, retryAfterMs: 5_000 });
}

/** Time after which an account that has its share of a service may try again, in milliseconds. */
const SHARE_RETRY_AFTER_MS = 1_000;

/** What the limits of accounts need to know of a request. */
export interface TrackedRequest {
  readonly account: Account;
  readonly service: ServiceId;
  readonly expectedTokens: number;
}

/** Runs `fn` within the limits of the request's account, with a row in the `requests` table meanwhile. */
export async function trackRequest<T>(
  ctx: EntryContext,
  id: RequestId,
  { account, service, expectedTokens }: TrackedRequest,
  fn: () => Promise<T>,
): Promise<T> {
  const { clock } = ctx.world;
  const placesNow = () => ({ places: ctx.placesOf(service), nowMs: clock.now() });
  let decision = ctx.shares.ask(service, account.id, placesNow());
  if (decision === "hold") {
    await clock.sleep(SHARE_HOLD_MS);
    decision = ctx.shares.settle(service, account.id, placesNow());
  }
  if (decision === "refuse") {
    const message = `the client account has its share of the places of ${service}`;
    const type = "account_concurrency_limit";
    refuse({ type, message, notRun: true, retryAfterMs: SHARE_RETRY_AFTER_MS });
  }
  try {
    return await trackAdmitted(ctx, id, { account, service, expectedTokens }, fn);
  } finally {
    ctx.shares.end(service, account.id, clock.now());
  }
}

/** The same for a request whose account does not exceed its share of the service. */
async function trackAdmitted<T>(
  ctx: EntryContext,
  id: RequestId,
  { account, service, expectedTokens }: TrackedRequest,
  fn: () => Promise<T>,
): Promise<T> {
  ctx.accounts.admit(account, expectedTokens);
  const row = { account: account.id, service };
  ctx.world.update((now) => ctx.requests.set(id, { ...row, sinceMs: Math.round(now) }));
  try {
    return await fn();
  } finally {
    ctx.world.update(() => ctx.requests.delete(id));
    ctx.accounts.release(account);
  }
}

/** Milliseconds within which a request must start: the lesser of the caller's and the service's limit. */
export function startTimeoutMs(req: IncomingMessage, serviceMs: number): number {
  const header = req.headers["x-deadline-ms"];
  if (header === undefined) return serviceMs;
  const ms = Number(header);
  if (!Number.isFinite(ms) || ms < 0) {
    const message = "x-deadline-ms: expected a non-negative number of milliseconds from now";
    refuse({ type: "invalid_request", message, notRun: true });
  }
  return Math.min(ms, serviceMs);
}

/** A signal that is aborted when the caller's connection closes before the response has been sent. */
export function disconnectSignal(res: ServerResponse): AbortSignal {
  const controller = new AbortController();
  res.once("close", () => {
    if (!res.writableFinished) controller.abort();
  });
  if (res.destroyed) controller.abort();
  return controller.signal;
}
