/**
 * Checks a configuration before it is sent: what it cannot mean, what can never match, limits that contradict each other,
 * and how it differs from the one in force. Without I/O.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import type { AccountConfig, GatewayConfig, RouteConfig } from "./types.ts";
import { RouteTable } from "./route_table.ts";

/** An `error` makes requests fail that the configuration is to serve; a `warning` may be intended. */
export type FindingSeverity = "error" | "warning";

/** One finding about a configuration. */
export interface ConfigFinding {
  readonly severity: FindingSeverity;
  /** Kind and id of the entry, such as `route orders`. */
  readonly subject: string;
  readonly message: string;
}

/** Options of {@link checkConfig}. */
export interface ConfigCheckOptions {
  /** Time for which callers wait, in milliseconds, where it is known: configurations do not name it. */
  readonly deadlineMs?: number;
}

/** Largest header section that gateways parse, in bytes. */
const MAX_HEADER_BYTES = 131_072;

/**
 * Finds what is wrong with a configuration that was decoded.
 *
 * @example
 * ```ts
 * for (const { severity, subject, message } of checkConfig(config)) print(severity, subject, message);
 * ```
 */
export function checkConfig(
  config: GatewayConfig,
  { deadlineMs = Infinity }: ConfigCheckOptions = {},
): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  const error = (subject: string, message: string) =>
    findings.push({ severity: "error", subject, message });
  const warning = (subject: string, message: string) =>
    findings.push({ severity: "warning", subject, message });

  for (const kind of ["routes", "services", "accounts"] as const) {
    const name = kind.slice(0, -1);
    for (const id of repeated(config[kind].map((entry) => entry.id))) {
      error(`${name} ${id}`, "the name occurs more than once");
    }
  }

  const services = new Set(config.services.map(({ id }) => id));
  const table = new RouteTable(config);
  for (const route of config.routes) {
    const subject = `route ${route.id}`;
    for (const { service } of route.targets) {
      if (!services.has(service)) error(subject, `there is no service ${service}`);
    }
    if (route.targets.every(({ weight }) => weight <= 0)) {
      error(subject, "no target has a weight above 0");
    }
    if (route.timeoutMs <= 0) error(subject, "its timeout is not above 0, so it serves no request");
    const match = table.find(route.hostname, route.pathPrefix);
    if (match !== null && match !== route) {
      warning(subject, `never matches: route ${match.id} has the same host and prefix`);
    }
    for (const message of contradictionsOf(route, deadlineMs)) warning(subject, message);
  }

  const used = new Set(config.routes.flatMap(({ targets }) => targets.map((t) => t.service)));
  for (const { id, engine } of config.services) {
    const subject = `service ${id}`;
    if (!used.has(id)) warning(subject, "no route names it");
    if (engine === null) continue;
    if (engine.slots === 0) error(subject, "its engines have no slots");
    if (engine.memoryTokens === 0) error(subject, "its engines have no memory for tokens");
  }

  const { maxHeaderBytes, headerTimeoutMs, idleTimeoutMs } = config.limits;
  if (maxHeaderBytes === 0) error("limits", "a header section of 0 bytes refuses each request");
  if (maxHeaderBytes > MAX_HEADER_BYTES) {
    warning("limits", `header sections over ${MAX_HEADER_BYTES} bytes are refused in any case`);
  }
  if (headerTimeoutMs > idleTimeoutMs && idleTimeoutMs > 0) {
    warning("limits", "the header timeout is longer than the idle timeout");
  }

  findings.push(...checkAccounts(config));
  return findings;
}

function contradictionsOf(route: RouteConfig, deadlineMs: number): string[] {
  const { timeoutMs, targetLatencyMs, targetGapMs } = route;
  const found: string[] = [];
  if (targetLatencyMs > timeoutMs) {
    found.push(`its target of ${targetLatencyMs} ms is longer than its timeout of ${timeoutMs} ms`);
  }
  if (targetGapMs !== null && targetGapMs > timeoutMs) {
    found.push(`its gap target of ${targetGapMs} ms is longer than its timeout of ${timeoutMs} ms`);
  }
  if (targetGapMs !== null && route.kind !== "streaming") {
    found.push("it has a gap target and is not streaming");
  }
  if (timeoutMs > deadlineMs) {
    found.push(`its timeout of ${timeoutMs} ms is longer than the deadline of ${deadlineMs} ms`);
  }
  return found;
}

function checkAccounts({ accounts, requiresKeys, routes }: GatewayConfig): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  const holders = new Map<string, AccountConfig>();
  for (const account of accounts) {
    const subject = `account ${account.id}`;
    if (account.keys.length === 0) {
      findings.push({ severity: "warning", subject, message: "has no keys" });
    }
    for (const key of new Set(account.keys)) {
      const holder = holders.get(key);
      if (holder !== undefined) {
        // The key itself is a secret.
        const message = `shares a key with account ${holder.id}, which never gets its requests`;
        findings.push({ severity: "error", subject, message });
      }
      holders.set(key, account);
    }
  }
  if (requiresKeys && holders.size === 0 && routes.some(({ isPublic }) => !isPublic)) {
    const message = "keys are required and there are none";
    findings.push({ severity: "error", subject: "accounts", message });
  }
  return findings;
}

function repeated(ids: readonly string[]): Set<string> {
  return new Set(ids.filter((id, i) => ids.indexOf(id) !== i));
}

/**
 * Describes how a configuration differs from the one in force, one line for each entry. Keys are counted, not named.
 *
 * @example
 * ```ts
 * for (const line of describeChanges(inForce, config)) print(line);
 * ```
 */
export function describeChanges(before: GatewayConfig, after: GatewayConfig): string[] {
  const lines: string[] = [];
  if (before.version !== after.version) {
    lines.push(`version: ${before.version} -> ${after.version}`);
  }
  if (before.requiresKeys !== after.requiresKeys) {
    lines.push(`requiresKeys: ${before.requiresKeys} -> ${after.requiresKeys}`);
  }
  lines.push(...changesOf("limits", before.limits, after.limits));
  for (const kind of ["routes", "services", "accounts"] as const) {
    const name = kind.slice(0, -1);
    const old = new Map<string, object>(before[kind].map((entry) => [entry.id, entry]));
    for (const entry of after[kind]) {
      const known = old.get(entry.id);
      old.delete(entry.id);
      if (known === undefined) lines.push(`${name} ${entry.id}: added`);
      else lines.push(...changesOf(`${name} ${entry.id}`, known, entry));
    }
    for (const id of old.keys()) lines.push(`${name} ${id}: removed`);
  }
  return lines;
}

function changesOf(subject: string, before: object, after: object): string[] {
  const changes: string[] = [];
  const old = before as Record<string, unknown>;
  for (const [field, value] of Object.entries(after)) {
    if (isDeepStrictEqual(old[field], value)) continue;
    changes.push(
      field === "keys" ? keyChange(old[field], value) : fieldChange(field, old[field], value),
    );
  }
  return changes.length === 0 ? [] : [`${subject}: ${changes.join(", ")}`];
}

function fieldChange(field: string, before: unknown, after: unknown): string {
  return `${field} ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}

function keyChange(before: unknown, after: unknown): string {
  const old = new Set(before as readonly string[]);
  const keys = new Set(after as readonly string[]);
  const added = [...keys].filter((key) => !old.has(key)).length;
  const removed = [...old].filter((key) => !keys.has(key)).length;
  return `keys: ${added} added, ${removed} removed`;
}
