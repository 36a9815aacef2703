/**
 * The servers for the platform's readiness checks and for metrics.
 *
 * @module
 */
import { type Clock, toWpError } from "@wisteriapick/core";
import { RecentText } from "@wisteriapick/http";
import type { MemoryBudget } from "@wisteriapick/policy";
import type { Address } from "@wisteriapick/wire";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { ErrorBoundary } from "../observe/error_boundary.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import { type PlainRoute, PlainServer } from "./plain_server.ts";

/** An address and the path that is served there. */
export interface ServedPath {
  readonly address: Address;
  readonly path: string;
}

/** Options of {@link OperatorServers}. */
export interface OperatorServersOptions {
  readonly readiness: ServedPath;
  /** `null` if no metrics are served. */
  readonly metrics: ServedPath | null;
  readonly registry: GatewayMetrics;
  readonly clock: Clock;
  readonly budget: MemoryBudget;
  readonly log: DecisionLog;
  readonly errors: ErrorBoundary;
  readonly isReady: () => boolean;
  /** Calls `listen` until the address can be bound. */
  readonly bind: (what: string, listen: () => Promise<void>) => Promise<void>;
}

/**
 * Serves readiness and metrics.
 *
 * @example
 * ```ts
 * await servers.listenForReadiness();
 * void servers.listenForMetrics();
 * ```
 */
export class OperatorServers {
  readonly #options: OperatorServersOptions;
  readonly #readiness: PlainServer;
  readonly #metrics: PlainServer | null;

  constructor(options: OperatorServersOptions) {
    this.#options = options;
    const { isReady, metrics, readiness, registry } = options;
    this.#readiness = this.#makeServer(readiness, () => ({ status: isReady() ? 200 : 503 }));
    const exposition = new RecentText(options.clock, () => registry.text());
    this.#metrics = metrics === null ? null : this.#makeServer(metrics, async () => ({
      status: 200,
      contentType: registry.registry.contentType,
      body: await exposition.get(),
    }));
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#readiness.connectionCount + (this.#metrics?.connectionCount ?? 0);
  }

  #makeServer({ address, path }: ServedPath, route: PlainRoute): PlainServer {
    const { budget, clock, errors } = this.#options;
    return new PlainServer({ address, routes: new Map([[path, route]]), clock, budget, errors });
  }

  /** Rejects if the address cannot be bound. */
  listenForReadiness(): Promise<void> {
    return this.#options.bind("readiness", () => this.#readiness.listen());
  }

  /** Serves metrics once their address can be bound. Callers are served without them. */
  async listenForMetrics(): Promise<void> {
    const server = this.#metrics;
    if (server === null) return;
    try {
      await this.#options.bind("metrics", () => server.listen());
    } catch (e) {
      this.#options.log.state("metrics_not_served", { err: toWpError(e) });
    }
  }

  close(): void {
    this.#readiness.close();
    this.#metrics?.close();
  }
}
