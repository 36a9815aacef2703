/**
 * Decides whether a caller's request may be taken, and whether it may still be sent to an endpoint later on.
 *
 * Load pattern: keys are taken away while requests with them arrive, wait and are repeated, also at gateways that do not
 * hear of it or that stood still meanwhile.
 *
 * @module
 */
import type { AccountConfig, RouteConfig } from "../config/types.ts";
import type { Fleet } from "../state/fleet.ts";
import type { KeyLease } from "../state/key_lease.ts";
import type { InboundHead, InboundRequest, Rejection } from "./inbound.ts";

/** Options of {@link AccessControl}. */
export interface AccessControlOptions {
  readonly fleet: Pick<Fleet, "routes">;
  readonly keys: Pick<KeyLease, "state" | "ageMs">;
}

/** Result of the check of a request's head. */
export type Access =
  | {
    readonly type: "allowed";
    readonly route: RouteConfig;
    readonly account: AccountConfig | null;
  }
  | { readonly type: "rejected"; readonly rejection: Rejection };

/** Retry delay given to callers while no configuration is known, in milliseconds. */
const RETRY_AFTER_NOT_READY_MS = 500;
/** Retry delay given to callers that should go to another gateway, in milliseconds. */
export const RETRY_AFTER_ELSEWHERE_MS = 20;

/** Checks requests against the routes and keys in force. */
export class AccessControl {
  readonly #options: AccessControlOptions;

  constructor(options: AccessControlOptions) {
    this.#options = options;
  }

  /** Whether a request that has just arrived may be taken. */
  check(head: InboundHead): Access {
    const { fleet: { routes }, keys } = this.#options;
    if (routes === null) {
      return rejected({
        reason: "not_ready",
        notRun: true,
        retryAfterMs: RETRY_AFTER_NOT_READY_MS,
      });
    }
    const route = routes.find(head.hostname, head.target);
    const account = head.apiKey === null ? null : routes.accountOf(head.apiKey);
    if (route !== null && (route.isPublic || !routes.config.requiresKeys)) {
      return { type: "allowed", route, account };
    }
    // What this gateway does not know may have been added, as well as taken away.
    if (routes.config.requiresKeys && keys.state !== "held") {
      return rejected(this.#unconfirmed());
    }
    if (route === null) return rejected({ reason: "unknown_route", notRun: true });
    if (account === null) return rejected({ reason: "unauthenticated", notRun: true });
    return { type: "allowed", route, account };
  }

  /** Why a request that was taken may not be sent to an endpoint now; `null` if it may. */
  refusalToSend({ route, account, apiKey }: InboundRequest): Rejection | null {
    const { fleet: { routes }, keys } = this.#options;
    if (route.isPublic || account === null || apiKey === null) return null;
    if (routes !== null && !routes.config.requiresKeys) return null;
    if (keys.state === "ended") return this.#unconfirmed();
    if (routes?.accountOf(apiKey)?.id === account.id) return null;
    return { reason: "unauthenticated", notRun: true };
  }

  #unconfirmed(): Rejection {
    return {
      reason: "keys_unconfirmed",
      notRun: true,
      retryAfterMs: RETRY_AFTER_ELSEWHERE_MS,
      configAgeMs: this.#options.keys.ageMs,
    };
  }
}

function rejected(rejection: Rejection): Access {
  return { type: "rejected", rejection };
}
