/**
 * Serves the routes of plain services at the entry.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Refusal, refuse, type RequestId, requestId, toRefusal } from "@wisteriapick/core";
import type { Account, ConfigView, Service } from "@wisteriapick/control";
import { createHash } from "node:crypto";
import type { CallResponseSink } from "./call_attempt.ts";
import type { CallOutcome, CallRelay, CallRequest } from "./call_relay.ts";
import { authenticate, authorizeService } from "./entry_auth.ts";
import {
  chooseVersions,
  disconnectSignal,
  type EntryContext,
  startTimeoutMs,
  trackRequest,
} from "./entry_context.ts";
import { sendProblem } from "./entry_sinks.ts";
import {
  forwardedHeaders,
  type HeaderList,
  parseRawHeaders,
  toHeaderRecord,
} from "./http_headers.ts";
import { waitForDrainOrClose } from "./http_server.ts";
import {
  type Claim,
  claimKey,
  contentDigest,
  type IdempotencyClaims,
  MAX_REPLAY_BYTES,
  type StoredResponse,
} from "./idempotency.ts";
import { type MatchedRoute, matchRoute } from "./plain_routes.ts";
import { MAX_REPLAYABLE_BYTES, ReplayableBody } from "./replayable_body.ts";

/** Largest body of a call with an idempotency key; it is held in memory to compute its digest. */
const MAX_KEYED_BODY_BYTES = 1 << 20;
const MAX_KEY_LENGTH = 255;

/** Dependencies of {@link PlainCalls}. */
export interface PlainCallsOptions {
  readonly relay: CallRelay;
  /** `null` where the process has no store; calls with an idempotency key are then refused. */
  readonly claims: IdempotencyClaims | null;
}

interface CallContext {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly view: ConfigView;
  readonly account: Account;
  readonly service: Service;
  readonly path: string;
  readonly route: MatchedRoute;
  readonly id: RequestId;
}

/** Serves `/services/{service}/*`. */
export class PlainCalls {
  readonly #ctx: EntryContext;
  readonly #o: PlainCallsOptions;

  constructor(ctx: EntryContext, options: PlainCallsOptions) {
    this.#ctx = ctx;
    this.#o = options;
  }

  async handle(req: IncomingMessage, res: ServerResponse, name: string): Promise<void> {
    this.#ctx.assertServing();
    const view = this.#ctx.config.current();
    const account = authenticate(view, req.headers.authorization);
    const service = authorizeService(view, account, name, "plain");
    const path = servicePath(req.url!);
    const id = requestId(this.#ctx.makeId("r"));
    res.setHeader("x-request-id", id);
    const route = matchRoute(service, req.method!, path);
    const { repeatable } = route;
    const call: CallContext = { req, res, view, account, service, path, route, id };
    const key = req.headers["idempotency-key"];
    const subject = { account, service: service.id, expectedTokens: 0 };
    await trackRequest(this.#ctx, id, subject, async () => {
      if (repeatable || key === undefined) {
        const maxBytes = repeatable ? MAX_REPLAYABLE_BYTES : 0;
        const body = new ReplayableBody(req, { maxBytes });
        const sink = new HttpResponseSink(res);
        const outcome = await this.#run(call, body, sink, disconnectSignal(res));
        this.#concludeResponse(call, outcome);
      } else await this.#runWithKey(call, String(key));
    });
  }

  /** Runs a call under its idempotency key, or replays the response that is stored under the key. */
  async #runWithKey(call: CallContext, key: string): Promise<void> {
    const { claims } = this.#o;
    if (claims === null || key.length === 0 || key.length > MAX_KEY_LENGTH) {
      return this.#refuseKey(claims === null);
    }
    const { req, res: response } = call;
    const body = await this.#ctx.bodies.read(req, response, { maxBytes: MAX_KEYED_BODY_BYTES });
    const digest = contentDigest(call.req.method!, call.path, body);
    const res = await claims.claim(claimKey(call.account.id, key), digest);
    if (res.type === "replay") return sendReplay(call.res, res.response);
    const sink = new RecordingSink(new HttpResponseSink(call.res));
    const replayableBody = new ReplayableBody(singleChunk(body), { maxBytes: body.length });
    // The call continues if the caller disconnects: its response is stored for a retry with the same key.
    const neverAborted = new AbortController().signal;
    let outcome: CallOutcome;
    try {
      outcome = await this.#run(call, replayableBody, sink, neverAborted);
    } catch (e) {
      const refusal = toRefusal(e, "unknown");
      if (refusal.notRun === true) void claims.release(res.claim);
      throw e;
    }
    this.#settleClaim(claims, res.claim, outcome, sink);
    this.#concludeResponse(call, outcome);
  }

  #settleClaim(
    claims: IdempotencyClaims,
    claim: Claim,
    outcome: CallOutcome,
    sink: RecordingSink,
  ): void {
    if (outcome.result === "answered") void claims.complete(claim, sink.response);
    else if (!outcome.mayHaveRun) void claims.release(claim);
  }

  #refuseKey(isStoreMissing: boolean): never {
    if (isStoreMissing) {
      const message = "this entry has no store of idempotency keys";
      refuse({ type: "idempotency_unavailable", message, notRun: true });
    }
    const message = `Idempotency-Key: expected 1 to ${MAX_KEY_LENGTH} characters`;
    refuse({ type: "invalid_request", message, notRun: true });
  }

  async #run(
    call: CallContext,
    body: ReplayableBody,
    sink: CallResponseSink,
    callerSignal: AbortSignal,
  ): Promise<CallOutcome> {
    const { req, view, service, account, path, id } = call;
    const callReq: CallRequest = {
      call: {
        req: id,
        service: service.id,
        account: account.id,
        weight: account.weight,
        method: req.method!,
        path,
        headers: callHeaders(call),
        repeatable: call.route.repeatable,
        revision: view.revision,
        digest: callDigest(service.id, req.method!, path),
        hasBody: hasBody(req),
      },
      versions: chooseVersions(this.#ctx, view, service, id),
      ineligibleEndpoints: this.#ctx.ineligibleEndpoints(view, service.id, id),
      route: call.route.name,
      body,
      deadlineMs: this.#ctx.world.clock.now() + startTimeoutMs(req, service.startDeadlineMs),
      callerSignal,
    };
    const outcome = await this.#o.relay.run(callReq, sink);
    const { result, endpoint, attempts, refusal } = outcome;
    const ids = { req: id, account: account.id, endpoint };
    this.#ctx.log.info({ ...ids, attempts, result, reason: refusal?.type }, "call ended");
    return outcome;
  }

  #concludeResponse(call: CallContext, outcome: CallOutcome): void {
    const { result, refusal } = outcome;
    if (refusal !== null) this.#ctx.metrics.countRefusal(refusal.type);
    if (result === "answered" || result === "caller_gone") return;
    // A cut connection tells the caller that the response is incomplete.
    if (result === "broken") return void call.res.destroy();
    sendRefusal(call, refusal!);
  }
}

function sendRefusal(call: CallContext, refusal: Refusal): void {
  // The rest of an unread body would otherwise be parsed as the next request.
  if (!call.req.complete) call.res.setHeader("connection", "close");
  sendProblem(call.res, refusal);
}

/** The path and query after `/services/{service}`. */
function servicePath(url: string): string {
  const rest = /^\/services\/[^/?]+(.*)$/.exec(url)?.[1] ?? "";
  return rest.startsWith("/") ? rest : `/${rest}`;
}

function callHeaders({ req, account, id }: CallContext): HeaderList {
  const ownHeaders = new Set(["x-request-id", "x-client-account"]);
  const headers = forwardedHeaders(parseRawHeaders(req.rawHeaders))
    .filter(([name]) => !ownHeaders.has(name.toLowerCase()));
  return [...headers, ["x-request-id", id], ["x-client-account", account.id]];
}

function hasBody(req: IncomingMessage): boolean {
  const length = req.headers["content-length"];
  return req.headers["transfer-encoding"] !== undefined || (length !== undefined && length !== "0");
}

/** Digest for quarantine: it covers service, method and path, but not the body, which is only streamed. */
function callDigest(service: string, method: string, path: string): string {
  const hash = createHash("sha256").update(`${service}\0${method}\0${path}`);
  return hash.digest("base64url").slice(0, 22);
}

async function* singleChunk(body: Buffer): AsyncIterable<Buffer> {
  if (body.length > 0) yield body;
}

function sendReplay(res: ServerResponse, stored: StoredResponse): void {
  res.writeHead(stored.status, {
    ...toHeaderRecord(stored.headers),
    "idempotent-replayed": "true",
  });
  res.end(stored.body);
}

/** Sends a response to the caller. */
class HttpResponseSink implements CallResponseSink {
  readonly #res: ServerResponse;

  constructor(res: ServerResponse) {
    this.#res = res;
  }

  writeHead(status: number, headers: HeaderList): void {
    if (!this.#res.destroyed) this.#res.writeHead(status, toHeaderRecord(headers));
  }

  write(bytes: Uint8Array, onDrain: () => void): boolean {
    if (this.#res.destroyed || this.#res.write(bytes)) return true;
    const { promise, removeListeners } = waitForDrainOrClose(this.#res);
    void promise.then(onDrain).finally(removeListeners);
    return false;
  }

  end(): void {
    this.#res.end();
  }
}

/** Keeps a copy of a response for replay unless it grows too large. */
class RecordingSink implements CallResponseSink {
  readonly #sink: CallResponseSink;
  #status = 0;
  #headers: HeaderList = [];
  #chunks: Uint8Array[] = [];
  #bytes = 0;

  constructor(sink: CallResponseSink) {
    this.#sink = sink;
  }

  /** The response, or `null` where it was too large to store. */
  get response(): StoredResponse | null {
    if (this.#bytes > MAX_REPLAY_BYTES) return null;
    return { status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks) };
  }

  writeHead(status: number, headers: HeaderList): void {
    this.#status = status;
    this.#headers = headers;
    this.#sink.writeHead(status, headers);
  }

  write(bytes: Uint8Array, onDrain: () => void): boolean {
    this.#bytes += bytes.length;
    if (this.#bytes <= MAX_REPLAY_BYTES) this.#chunks.push(Buffer.from(bytes));
    else this.#chunks = [];
    return this.#sink.write(bytes, onDrain);
  }

  end(): void {
    this.#sink.end();
  }
}
