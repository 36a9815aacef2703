/**
 * Authenticates requests by bearer key and checks which services a client account may use.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { refuse, type ServiceId } from "@wisteriapick/core";
import type { Account, ConfigView, Service } from "@wisteriapick/control";

/** SHA-256 of a key in hex, as the configuration holds it. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/**
 * The account whose key the `Authorization` header carries. Refuses with `unauthenticated`. Keys are compared
 * by their hashes, so that the time of a look-up reveals nothing about a key.
 *
 * @example
 * ```ts
 * const account = authenticate(config.current(), req.headers.authorization);
 * ```
 */
export function authenticate(view: ConfigView, authorization: string | undefined): Account {
  const match = /^Bearer +(\S+)$/i.exec(authorization ?? "");
  const account = match === null ? undefined : view.accountsByKeyHash.get(hashKey(match[1]!));
  if (account !== undefined) return account;
  refuse({ type: "unauthenticated", message: "a valid bearer key is required", notRun: true });
}

/** The service that a caller named. Refuses with `unknown_service` or `forbidden`. */
export function authorizeService(
  view: ConfigView,
  account: Account,
  name: string,
  kind: Service["kind"],
): Service {
  const service = view.services.get(name as ServiceId);
  if (service === undefined || service.kind !== kind) {
    const message = `there is no ${kind} service ${JSON.stringify(name.slice(0, 80))}`;
    refuse({ type: "unknown_service", message, notRun: true });
  }
  if (account.services !== undefined && !account.services.includes(service.id)) {
    const message = `account ${account.id} may not use service ${service.id}`;
    refuse({ type: "forbidden", message, notRun: true });
  }
  return service;
}
