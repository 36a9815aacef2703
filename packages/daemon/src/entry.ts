/**
 * The entry: terminates callers' HTTP and relays their requests to sides.
 *
 * @module
 */
import { randomBytes, randomInt } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import {
  createMetrics,
  type DataCentreId,
  type EndpointId,
  generationId,
  type Metrics,
  refuse,
  type RequestId,
  Rng,
  type ServiceId,
  toRefusal,
  toWpError,
  type Undo,
  type VersionId,
} from "@wisteriapick/core";
import {
  type Account,
  type ConfigView,
  excludedDataCentres,
  type ReadBody,
} from "@wisteriapick/control";
import { encodeModelList, ResumeSigner } from "@wisteriapick/delivery";
import { BodyRoom, BoundedConnections, RecentText } from "@wisteriapick/http";
import {
  LengthEstimator,
  MemoryBudget,
  openConnectionLimit,
  Quarantine,
  RetryPolicy,
  ServiceShares,
  sharesOf,
} from "@wisteriapick/policy";
import { type EndpointLoad, type LoadReport, pendingHandshakeLimit } from "@wisteriapick/wire";
import findMyWay, { type HTTPMethod } from "find-my-way";
import { AccountLimiter } from "./account_limiter.ts";
import { CallRelay } from "./call_relay.ts";
import type { EndpointRecord } from "./endpoint_directory.ts";
import { authenticate } from "./entry_auth.ts";
import { PlainCalls } from "./entry_calls.ts";
import { Completions } from "./entry_completions.ts";
import type { EntryContext, RequestRow } from "./entry_context.ts";
import type { EntryHost, EntryOptions } from "./entry_options.ts";
import { GenerationRelay, RELAY_LIMITS } from "./entry_relay.ts";
import { sendProblem } from "./entry_sinks.ts";
import { ConfiguredVersionChooser } from "./entry_versions.ts";
import { listenHttp, makeHttpServer, sendJson } from "./http_server.ts";
import { IdempotencyClaims } from "./idempotency.ts";

/** Handles one request under `/admin/` after the operator's key has been checked. */
export type AdminHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  params: Readonly<Record<string, string | undefined>>,
  operator: Account,
) => Promise<void> | void;

type Handler = (
  req: IncomingMessage,
  res: ServerResponse,
  params: Record<string, string | undefined>,
) => Promise<void> | void;

const MAX_BODY_BYTES = 512 << 10;
/** Longer than a side's own timeout for its endpoint, so that the side's error arrives first. */
const CALL_IDLE_TIMEOUT_MS = 45_000;
/** Time for load balancers to notice the failing health check before new work is refused. */
const ANNOUNCE_MS = 3_000;
const DRAIN_POLL_MS = 20;
/** Requests of one connection that may be unanswered. Each generation holds more than a request that is relayed as it is. */
const MAX_UNANSWERED = 8;
const NO_LIMITS: EntryHost = { memoryMb: null, maxDescriptors: null };
const ANY_METHOD: HTTPMethod[] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

function randomId(prefix: string): string {
  return `${prefix}-${randomBytes(12).toString("base64url")}`;
}

/**
 * An entry: its HTTP server, routes and relays.
 *
 * @example
 * ```ts
 * const entry = new Entry(options);
 * const address = await entry.listen();
 * await entry.drain();
 * ```
 */
export class Entry {
  readonly metrics: Metrics;
  readonly #o: EntryOptions;
  readonly #router = findMyWay({ ignoreTrailingSlash: true });
  readonly #server: Server;
  readonly #connections: BoundedConnections;
  readonly #bodies: BodyRoom;
  readonly #endpointVersions = new Map<EndpointId, VersionId>();
  /** What endpoints last said of themselves. */
  readonly #loads = new Map<EndpointId, EndpointLoad>();
  readonly #undos: Undo[] = [];
  readonly #quarantine: Quarantine;
  readonly #accounts: AccountLimiter;
  /** The configured endpoints that placement was last updated with; they carry the endpoints' versions. */
  #configuredEndpoints: ConfigView["endpoints"] | null = null;
  #isDraining = false;
  #isRefusing = false;
  #openRequests = 0;

  constructor(options: EntryOptions) {
    this.#o = options;
    this.metrics = options.metrics ?? createMetrics();
    this.#quarantine = options.quarantine ?? new Quarantine();
    const { config, identity, world } = options;
    this.#accounts = options.accounts ??
      new AccountLimiter({ self: identity.process, clock: world.clock, config });
    const { entryHost = NO_LIMITS, listen: { tls } } = options;
    this.#connections = this.#makeConnections();
    this.#bodies = new BodyRoom({
      budget: new MemoryBudget({ memoryMb: entryHost.memoryMb }),
      clock: world.clock,
      connections: this.#connections,
      onRefused: () => this.metrics.countCallerLimit("body_refused"),
    });
    this.#server = makeHttpServer((req, res) => {
      if (this.#connections.begin(req, res)) void this.#handle(req, res);
    }, { tls, maxPendingHandshakes: pendingHandshakeLimit(entryHost.maxDescriptors) });
    this.#connections.guard(this.#server);
    this.#registerRoutes(this.#makeContext());
  }

  /** Whether the health check succeeds. */
  get isHealthy(): boolean {
    return !this.#isDraining && this.#o.config.ready();
  }

  /** Whether new work is refused because the entry is stopping. */
  get isRefusing(): boolean {
    return this.#isRefusing;
  }

  /** Starts and listens on the address of the options; resolves with the bound `ip:port`. */
  async listen(): Promise<string> {
    this.start();
    return await listenHttp(this.#server, this.#o.listen);
  }

  /** Serves HTTP on an established connection, for embedding and for tests without sockets. */
  accept(connection: Duplex): void {
    this.#server.emit("connection", connection);
  }

  /** Starts to follow configuration and endpoints. {@link Entry.listen} calls it. */
  start(): void {
    if (this.#undos.length > 0) return;
    const { directory, config, router } = this.#o;
    for (const row of directory.rows()) this.#updatePlacement(row);
    this.#undos.push(
      directory.registerListener((change) => {
        for (const row of change.set) this.#updatePlacement(row);
        for (const id of change.removed) this.#removeEndpoint(id);
        for (const address of change.unlisted) this.#o.links.forget(address);
      }),
      config.registerListener((view) => this.#applyConfig(view)),
      router.registerNotify("load", (_link, msg) => this.#onLoad(msg)),
      router.registerStream(
        "account_reports",
        (_link, msg, stream) => this.#accounts.onReports(msg, stream),
      ),
      this.#accounts.start(),
    );
    this.#applyConfig(config.current());
  }

  /** Adds an operator route, for example `registerAdminRoute("GET", "/admin/status", handler)`. */
  registerAdminRoute(
    method: "GET" | "POST" | "PUT" | "DELETE",
    path: string,
    handler: AdminHandler,
  ): Undo {
    this.#registerRoute(method, path, async (req, res, params) => {
      const account = authenticate(this.#o.config.current(), req.headers.authorization);
      if (account.role !== "operator") {
        refuse({ type: "forbidden", message: "an operator key is required", notRun: true });
      }
      await handler(req, res, params, account);
    });
    return () => this.#router.off(method, path);
  }

  /** Reads a whole body within the memory that all callers share. */
  readonly readBody: ReadBody = (req, res, options) => this.#bodies.read(req, res, options);

  /**
   * Planned stop: the health check fails first, new work is refused after `announceMs` or once `announce` resolves,
   * and the promise resolves when every open request has ended.
   */
  async drain(
    { announceMs = ANNOUNCE_MS, announce }: { announceMs?: number; announce?: Promise<void> } = {},
  ): Promise<void> {
    const { clock } = this.#o.world;
    this.#isDraining = true;
    await (announce ?? clock.sleep(announceMs));
    this.#isRefusing = true;
    this.#server.close();
    while (this.#openRequests > 0) {
      this.#server.closeIdleConnections();
      await clock.sleep(DRAIN_POLL_MS);
    }
    this.close();
  }

  /** Stops at once and cuts open connections, as when the process dies. */
  close(): void {
    for (const undo of this.#undos.splice(0)) undo();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #makeConnections(): BoundedConnections {
    const { entryHost = NO_LIMITS, listen, log, otherDescriptors = () => 0, world } = this.#o;
    const { maxDescriptors, memoryMb } = entryHost;
    // The server has no connection before its TLS handshake is complete.
    const handshakes = listen.tls === undefined ? 0 : pendingHandshakeLimit(maxDescriptors);
    return new BoundedConnections({
      clock: world.clock,
      // Descriptors bound connections alone, as requests reach endpoints over links that are open.
      bounds: {
        shares: sharesOf(memoryMb),
        maxDescriptors: null,
        maxUnanswered: MAX_UNANSWERED,
      },
      maxConnections: () => openConnectionLimit(maxDescriptors, otherDescriptors() + handshakes),
      contain: (work) => {
        try {
          work();
        } catch (e) {
          log.error({ err: toWpError(e) }, "connection failed");
        }
      },
      onFull: () => this.#bodies.refuseLongestStalled(),
      onLimit: (event, details) => {
        this.metrics.countCallerLimit(event);
        log.debug({ event, ...details }, "connection limited");
      },
    });
  }

  #makeContext(): EntryContext {
    const { config, world, log, versions = new ConfiguredVersionChooser(), makeId = randomId } =
      this.#o;
    const { table } = world.registerTable<RequestId, RequestRow>("requests");
    return {
      config,
      world,
      log,
      metrics: this.metrics,
      versions,
      accounts: this.#accounts,
      shares: new ServiceShares(),
      bodies: this.#bodies,
      requests: table,
      makeId,
      placesOf: (service) => this.#placesOf(service),
      versionOf: (endpoint) => this.#versionOf(endpoint),
      ineligibleEndpoints: (view, service, id) => this.#ineligibleEndpoints(view, service, id),
      assertServing: () => this.#assertServing(),
    };
  }

  #registerRoutes(ctx: EntryContext): void {
    const completions = this.#makeCompletions(ctx);
    const calls = this.#makeCalls(ctx);
    const { registry } = this.metrics;
    const exposition = new RecentText(ctx.world.clock, () => registry.metrics());
    this.#registerRoute("GET", "/healthz", (_req, res) => this.#sendHealth(res));
    this.#registerRoute("GET", "/metrics", async (_req, res) => {
      res.writeHead(200, { "content-type": registry.contentType });
      res.end(await exposition.get());
    });
    this.#registerRoute("GET", "/v1/models", (req, res) => this.#sendModels(req, res));
    for (const [path, format] of [["chat/completions", "chat"], ["completions", "text"]] as const) {
      this.#registerRoute(
        "POST",
        `/v1/${path}`,
        (req, res) => completions.complete(format, req, res),
      );
      this.#registerRoute("GET", `/v1/${path}`, (req, res) => completions.resume(req, res));
    }
    for (const path of ["/services/:service", "/services/:service/*"]) {
      this.#registerRoute(
        ANY_METHOD,
        path,
        (req, res, params) => calls.handle(req, res, params.service!),
      );
    }
    this.registerAdminRoute("GET", "/admin/dump", (_req, res) => {
      sendJson(res, 200, this.#o.world.dump());
    });
  }

  /** Dependencies that both relays share. */
  #sharedRelayDependencies() {
    const { rng = new Rng(randomInt(2 ** 31)), limits, onOutcome } = this.#o;
    const { maxHops } = { ...RELAY_LIMITS, ...limits };
    const recordLoad = (load: EndpointLoad) => this.#recordLoad(load);
    return {
      retry: new RetryPolicy(rng.fork("retry"), { maxHops }),
      recordLoad,
      onOutcome,
    };
  }

  #makeCompletions(ctx: EntryContext): Completions {
    const { world, directory, links, placement, clusterKey, maxBodyBytes } = this.#o;
    const limits = { ...RELAY_LIMITS, ...this.#o.limits };
    const signer = new ResumeSigner(clusterKey);
    const relay = new GenerationRelay({
      clock: world.clock,
      directory,
      links,
      placement,
      signer,
      quarantine: this.#quarantine,
      metrics: this.metrics,
      limits,
      makeGenerationId: () => generationId(ctx.makeId("g")),
      versionOf: ctx.versionOf,
      ...this.#sharedRelayDependencies(),
    });
    const options = {
      relay,
      signer,
      links,
      limits,
      lengths: this.#o.lengths ?? new LengthEstimator(),
      maxBodyBytes: maxBodyBytes ?? MAX_BODY_BYTES,
    };
    return new Completions(ctx, options);
  }

  #makeCalls(ctx: EntryContext): PlainCalls {
    const { world, directory, links, placement, store, limits, idempotency } = this.#o;
    const { clock } = world;
    const relay = new CallRelay({
      clock,
      directory,
      links,
      placement,
      metrics: this.metrics,
      maxHops: limits?.maxHops ?? RELAY_LIMITS.maxHops,
      idleTimeoutMs: this.#o.callIdleTimeoutMs ?? CALL_IDLE_TIMEOUT_MS,
      versionOf: ctx.versionOf,
      ...this.#sharedRelayDependencies(),
    });
    const claims = store === undefined
      ? null
      : new IdempotencyClaims({ store, clock, ...idempotency });
    return new PlainCalls(ctx, { relay, claims });
  }

  #registerRoute(method: HTTPMethod | HTTPMethod[], path: string, handler: Handler): void {
    this.#router.on(method, path, (req, res, params) => {
      return handler(req as IncomingMessage, res as ServerResponse, params);
    });
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.#openRequests++;
    res.once("close", () => void this.#openRequests--);
    if (this.#isDraining) res.setHeader("connection", "close");
    try {
      const path = (req.url ?? "/").split("?", 1)[0]!;
      const route = this.#router.find(req.method as HTTPMethod, path);
      if (route === null) {
        const message = `there is no route ${req.method} ${path.slice(0, 200)}`;
        refuse({ type: "unknown_route", message, notRun: true });
      }
      await (route.handler as unknown as Handler)(req, res, route.params);
    } catch (e) {
      this.#sendFailure(req, res, e);
    }
  }

  #sendFailure(req: IncomingMessage, res: ServerResponse, e: unknown): void {
    const refusal = toRefusal(e, "unknown");
    this.metrics.countRefusal(refusal.type);
    if (refusal.type === "internal") this.#o.log.error({ err: e }, "request handler failed");
    if (res.headersSent) return void res.destroy();
    if (!req.complete) {
      res.setHeader("connection", "close");
      // The rest of the body would be parsed, and what follows it.
      this.#connections.endConnection(req);
    }
    sendProblem(res, refusal);
  }

  #sendHealth(res: ServerResponse): void {
    const state = this.#isDraining ? "draining" : this.isHealthy ? "up" : "not_ready";
    const { revision } = this.#o.config.current();
    sendJson(res, this.isHealthy ? 200 : 503, { state, revision });
  }

  #sendModels(req: IncomingMessage, res: ServerResponse): void {
    const view = this.#o.config.current();
    const account = authenticate(view, req.headers.authorization);
    const models = [...view.services.values()].filter((service) =>
      service.kind === "model" && (account.services?.includes(service.id) ?? true)
    );
    sendJson(res, 200, encodeModelList(models.map((service) => service.id)));
  }

  #assertServing(): void {
    if (this.#isRefusing) {
      const message = "this entry is stopping";
      refuse({ type: "draining", message, notRun: true, retryAfterMs: 1_000 });
    }
    if (this.#o.config.ready()) return;
    const message = "this entry does not have a recent configuration yet";
    refuse({ type: "not_ready", message, notRun: true, retryAfterMs: 1_000 });
  }

  #updatePlacement(row: EndpointRecord): void {
    if (row.leaving) this.#o.placement.removeEndpoint(row.endpoint);
    else this.#o.placement.setEndpoint({ ...row, version: this.#configuredVersion(row.endpoint) });
  }

  #configuredVersion(endpoint: EndpointId): VersionId | undefined {
    return this.#o.config.current().endpoints.get(endpoint)?.version;
  }

  #removeEndpoint(endpoint: EndpointId): void {
    this.#o.placement.removeEndpoint(endpoint);
    this.#endpointVersions.delete(endpoint);
    this.#loads.delete(endpoint);
  }

  #onLoad({ load, suspects, cache = [] }: LoadReport): void {
    const now = this.#o.world.clock.now();
    this.#recordLoad(load);
    this.#o.placement.recordLoad(load, now);
    if (suspects !== undefined) this.#quarantine.merge(suspects, now);
    for (const { type, prefix } of cache) {
      this.#o.placement.recordCacheEvent(load.endpoint, type, prefix);
    }
  }

  #recordLoad(load: EndpointLoad): void {
    this.#endpointVersions.set(load.endpoint, load.version);
    this.#loads.set(load.endpoint, load);
  }

  #placesOf(service: ServiceId): number {
    let places = 0;
    for (const load of this.#loads.values()) {
      if (load.service === service && !load.leaving) places += load.allowance;
    }
    return places;
  }

  #applyConfig(view: ConfigView): void {
    const usable = new Set<DataCentreId>();
    for (const dc of view.dataCentres.values()) if (dc.state !== "out") usable.add(dc.id);
    this.#o.placement.setDataCentres(usable);
    if (view.endpoints === this.#configuredEndpoints) return;
    this.#configuredEndpoints = view.endpoints;
    for (const row of this.#o.directory.rows()) this.#updatePlacement(row);
  }

  /**
   * Endpoints of data centres that do not serve this request: a data centre that returns to service takes a growing
   * fraction of the requests.
   */
  #ineligibleEndpoints(
    view: ConfigView,
    service: ServiceId,
    id: RequestId,
  ): ReadonlySet<EndpointId> {
    const ineligible = new Set<EndpointId>();
    const excluded = excludedDataCentres(view, id, this.#o.world.clock.wall());
    if (excluded.size === 0) return ineligible;
    for (const row of this.#o.directory.rows()) {
      if (row.service === service && excluded.has(row.dataCentre)) ineligible.add(row.endpoint);
    }
    return ineligible;
  }

  #versionOf(endpoint: EndpointId): VersionId | null {
    return this.#endpointVersions.get(endpoint) ??
      this.#o.config.current().endpoints.get(endpoint)?.version ?? null;
  }
}
