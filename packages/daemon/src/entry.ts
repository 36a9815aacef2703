/**
 * The entry process: terminates callers' HTTP and relays.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import {
  createMetrics,
  type DataCentreId,
  type EndpointId,
  type GenerationId,
  generationId,
  type Logger,
  type Metrics,
  refuse,
  type RequestId,
  requestId,
  toRefusal,
  type Undo,
  type VersionId,
  type World,
} from "@wisteriapick/core";
import type { Account, ConfigSource, ConfigView } from "@wisteriapick/control";
import {
  encodeModelList,
  parseCompletionRequest,
  ResumeSigner,
  TokenCursor,
} from "@wisteriapick/delivery";
import type { Placement } from "@wisteriapick/policy";
import type { Identity } from "@wisteriapick/wire";
import findMyWay from "find-my-way";
import type { Directory } from "./directory.ts";
import { authenticate, authorizeService } from "./entry_auth.ts";
import { followGeneration } from "./entry_follower.ts";
import {
  GenerationRelay,
  RELAY_LIMITS,
  type RelayLimits,
  type RelayRequest,
} from "./entry_relay.ts";
import { type AnswerSink, sendProblem, StreamSink, WholeSink } from "./entry_sinks.ts";
import { ConfiguredVersions, type VersionChooser } from "./entry_versions.ts";
import {
  type HttpListenOptions,
  listenHttp,
  makeHttpServer,
  readBody,
  sendJson,
} from "./http_server.ts";
import type { LinkRouter } from "./link_router.ts";
import type { LinkSource } from "./link_source.ts";
import { promptShape } from "./prompt_shape.ts";

/** What an entry is made of. */
export interface EntryOptions {
  readonly identity: Identity;
  readonly clusterKey: Uint8Array | string;
  readonly listen: HttpListenOptions;
  readonly config: ConfigSource;
  readonly directory: Directory;
  readonly links: LinkSource;
  readonly router: LinkRouter;
  readonly placement: Placement;
  readonly world: World;
  readonly log: Logger;
  readonly versions?: VersionChooser;
  readonly metrics?: Metrics;
  readonly limits?: Partial<RelayLimits>;
  /** Largest body of a completion request. */
  readonly maxBodyBytes?: number;
  /** Makes ids; random by default. */
  readonly makeId?: (prefix: string) => string;
}

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

function randomId(prefix: string): string {
  return `${prefix}-${randomBytes(12).toString("base64url")}`;
}

/** One entry. */
export class Entry {
  readonly metrics: Metrics;
  readonly #o: EntryOptions;
  readonly #limits: RelayLimits;
  readonly #relay: GenerationRelay;
  readonly #signer: ResumeSigner;
  readonly #router = findMyWay({ ignoreTrailingSlash: true });
  readonly #server: Server;
  readonly #versions: VersionChooser;
  readonly #endpointVersions = new Map<EndpointId, VersionId>();
  readonly #undos: Undo[] = [];
  readonly #makeId: (prefix: string) => string;
  #draining = false;
  #open = 0;

  constructor(options: EntryOptions) {
    this.#o = options;
    this.metrics = options.metrics ?? createMetrics();
    this.#limits = { ...RELAY_LIMITS, ...options.limits };
    this.#signer = new ResumeSigner(options.clusterKey);
    this.#versions = options.versions ?? new ConfiguredVersions();
    this.#makeId = options.makeId ?? randomId;
    this.#relay = new GenerationRelay({
      clock: options.world.clock,
      directory: options.directory,
      links: options.links,
      placement: options.placement,
      signer: this.#signer,
      metrics: this.metrics,
      log: options.log,
      limits: this.#limits,
      makeGenerationId: () => generationId(this.#makeId("g")),
      versionOf: (endpoint) => this.#versionOf(endpoint),
    });
    this.#server = makeHttpServer((req, res) => void this.#handle(req, res), options.listen.tls);
    this.#registerRoutes();
  }

  /** Starts to serve; resolves with the bound `ip:port`. */
  async listen(): Promise<string> {
    const { directory, config, router, placement, world } = this.#o;
    for (const row of directory.rows()) placement.setEndpoint(row);
    this.#undos.push(
      directory.registerListener((change) => {
        for (const row of change.set) placement.setEndpoint(row);
        for (const id of change.removed) placement.removeEndpoint(id);
      }),
      config.registerListener((view) => this.#applyConfig(view)),
      router.registerNotify("load", (_link, msg) => {
        this.#endpointVersions.set(msg.load.endpoint, msg.load.version);
        placement.recordLoad(msg.load, world.clock.now());
      }),
    );
    this.#applyConfig(config.current());
    return await listenHttp(this.#server, this.#o.listen);
  }

  /** Adds an operator route, for example `registerAdminRoute("GET", "/admin/status", handler)`. */
  registerAdminRoute(method: "GET" | "POST" | "DELETE", path: string, handler: AdminHandler): Undo {
    this.#on(method, path, async (req, res, params) => {
      const account = authenticate(this.#o.config.current(), req.headers.authorization);
      if (account.role !== "operator") {
        refuse({ type: "forbidden", message: "an operator key is required", notRun: true });
      }
      await handler(req, res, params, account);
    });
    return () => this.#router.off(method, path);
  }

  /** Stops at once, as when the process dies. */
  close(): void {
    for (const undo of this.#undos.splice(0)) undo();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #registerRoutes(): void {
    this.#on("GET", "/healthz", (_req, res) => this.#health(res));
    this.#on("GET", "/metrics", async (_req, res) => {
      const { registry } = this.metrics;
      res.writeHead(200, { "content-type": registry.contentType });
      res.end(await registry.metrics());
    });
    this.#on("GET", "/v1/models", (req, res) => this.#models(req, res));
    this.#on("POST", "/v1/chat/completions", (req, res) => this.#complete("chat", req, res));
    this.#on("POST", "/v1/completions", (req, res) => this.#complete("text", req, res));
    this.#on("GET", "/v1/chat/completions", (req, res) => this.#resume(req, res));
    this.#on("GET", "/v1/completions", (req, res) => this.#resume(req, res));
    this.registerAdminRoute("GET", "/admin/dump", (_req, res) => {
      sendJson(res, 200, this.#o.world.dump());
    });
  }

  #on(method: "GET" | "POST" | "DELETE", path: string, handler: Handler): void {
    this.#router.on(method, path, (req, res, params) => {
      return handler(req as IncomingMessage, res as ServerResponse, params);
    });
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.#open++;
    res.once("close", () => void this.#open--);
    try {
      const method = req.method as "GET";
      const route = this.#router.find(method, (req.url ?? "/").split("?", 1)[0]!);
      if (route === null) {
        refuse({
          type: "unknown_route",
          message: `there is no ${req.method} ${req.url}`,
          notRun: true,
        });
      }
      const handler = route.handler as unknown as (...args: unknown[]) => Promise<void>;
      await handler(req, res, route.params, route.store, route.searchParams);
    } catch (e) {
      this.#fail(res, e);
    }
  }

  #fail(res: ServerResponse, e: unknown): void {
    const refusal = toRefusal(e, "unknown");
    this.metrics.countRefusal(refusal.type);
    if (refusal.type === "internal") this.#o.log.error({ err: e }, "request handler failed");
    if (res.headersSent) res.destroy();
    else sendProblem(res, refusal);
  }

  #health(res: ServerResponse): void {
    const up = !this.#draining && this.#o.config.ready();
    const state = this.#draining ? "draining" : up ? "up" : "not_ready";
    sendJson(res, up ? 200 : 503, { state, revision: this.#o.config.current().revision });
  }

  #models(req: IncomingMessage, res: ServerResponse): void {
    const view = this.#o.config.current();
    const account = authenticate(view, req.headers.authorization);
    const models = [...view.services.values()].filter((s) =>
      s.kind === "model" && (account.services?.includes(s.id) ?? true)
    );
    sendJson(res, 200, encodeModelList(models.map((s) => s.id)));
  }

  #assertServing(): void {
    if (this.#draining) {
      refuse({
        type: "draining",
        message: "this entry is stopping",
        notRun: true,
        retryAfterMs: 1_000,
      });
    }
    if (!this.#o.config.ready()) {
      const message = "this entry does not have a recent configuration yet";
      refuse({ type: "not_ready", message, notRun: true, retryAfterMs: 1_000 });
    }
  }

  async #complete(
    format: "chat" | "text",
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (req.headers["last-event-id"] !== undefined) return await this.#resume(req, res);
    this.#assertServing();
    const view = this.#o.config.current();
    const account = authenticate(view, req.headers.authorization);
    const body = await readBody(req, this.#o.maxBodyBytes ?? 512 << 10);
    const completion = parseCompletionRequest(format, body.toString("utf8"));
    const service = authorizeService(view, account, completion.model, "model");
    const id = requestId(this.#makeId("r"));
    res.setHeader("x-request-id", id);
    const now = this.#o.world.clock.now();
    const relayReq: RelayRequest = {
      run: {
        req: id,
        service: service.id,
        account: account.id,
        weight: account.weight,
        route: format,
        priority: 0,
        revision: view.revision,
        prompt: completion.prompt,
        maxTokens: completion.maxTokens,
        stop: completion.stop,
        temperature: completion.temperature,
        ...promptShape(format, service.id, completion.prompt),
      },
      versions: this.#chooseVersions(view, service, id),
      completion,
      expectedTokens: Math.min(completion.maxTokens, 256),
      deadlineMs: now + startDeadline(req, service.startDeadlineMs),
      gone: goneSignal(res),
    };
    const sink = completion.stream
      ? new StreamSink(res, { includeUsage: completion.includeUsage, resumed: false })
      : new WholeSink(res);
    const outcome = await this.#relay.run(relayReq, sink);
    const { gen, endpoint, attempts, result, refusal } = outcome;
    const reason = refusal?.type;
    this.#o.log.info(
      { req: id, gen, account: account.id, endpoint, attempts, result, reason },
      "generation request ended",
    );
  }

  #chooseVersions(
    view: ConfigView,
    service: Parameters<VersionChooser["choose"]>[1],
    id: RequestId,
  ): readonly VersionId[] {
    const versions = this.#versions.choose(view, service, id);
    if (versions.length > 0) return versions;
    const message = `no version of ${service.id} may serve at present`;
    refuse({ type: "version_withdrawn", message, notRun: true, retryAfterMs: 5_000 });
  }

  async #resume(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const view = this.#o.config.current();
    const account = authenticate(view, req.headers.authorization);
    const id = String(req.headers["last-event-id"] ?? "");
    const { clock } = this.#o.world;
    const point = this.#signer.verify(id, { account: account.id, wallMs: clock.wall() });
    const { ref, signed, offset } = point;
    const sink: AnswerSink = new StreamSink(res, { includeUsage: ref.includeUsage, resumed: true });
    const head = { format: ref.format, gen: ref.gen, model: ref.service, created: ref.created };
    sink.begin(head, signed);
    const cursor = new TokenCursor(offset + 1);
    const opening = {
      kind: "resume",
      gen: ref.gen,
      account: account.id,
      offset: offset + 1,
    } as const;
    const { links } = this.#o;
    const gone = goneSignal(res);
    const options = { clock, links, limits: this.#limits, sink, cursor, gone };
    const end = await followGeneration(ref.side, opening, options);
    if (end.type === "caller_gone") return;
    if (end.type === "end" && end.end.reason !== "cancelled") {
      return sink.end(end.end.reason, end.end);
    }
    const refusal = end.type === "fail"
      ? end.refusal
      : { type: "side_lost", message: "the side cannot be reached", notRun: false } as const;
    this.metrics.countRefusal(refusal.type);
    sink.fail(refusal);
  }

  #applyConfig(view: ConfigView): void {
    const usable = new Set<DataCentreId>();
    for (const dc of view.dataCentres.values()) if (dc.state !== "out") usable.add(dc.id);
    this.#o.placement.setDataCentres(usable);
  }

  #versionOf(endpoint: EndpointId): VersionId | null {
    const { config } = this.#o;
    return this.#endpointVersions.get(endpoint) ??
      config.current().endpoints.get(endpoint)?.version ?? null;
  }
}

/** Milliseconds within which a request must start: the caller's or the service's, whichever is less. */
function startDeadline(req: IncomingMessage, serviceMs: number): number {
  const header = req.headers["x-deadline-ms"];
  if (header === undefined) return serviceMs;
  const ms = Number(header);
  if (!Number.isFinite(ms) || ms < 0) {
    const message = "x-deadline-ms: expected milliseconds from now";
    refuse({ type: "invalid_request", message, notRun: true });
  }
  return Math.min(ms, serviceMs);
}

/** Aborted when the caller's connection closes before the answer has been sent. */
function goneSignal(res: ServerResponse): AbortSignal {
  const abort = new AbortController();
  res.once("close", () => abort.abort());
  if (res.destroyed) abort.abort();
  return abort.signal;
}

export type { GenerationId };
