/**
 * The routes of plain services at the entry.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Refusal, refuse, type RequestId, requestId, toRefusal } from "@wisteriapick/core";
import type { Account, ConfigView, Service } from "@wisteriapick/control";
import { createHash } from "node:crypto";
import type { CallSink } from "./call_attempt.ts";
import type { CallOutcome, CallRelay, CallRequest } from "./call_relay.ts";
import { authenticate, authorizeService } from "./entry_auth.ts";
import {
  chooseVersions,
  type EntryContext,
  goneSignal,
  startDeadline,
  trackRequest,
} from "./entry_context.ts";
import { sendProblem } from "./entry_sinks.ts";
import {
  forwardedHeaders,
  type HeaderList,
  parseRawHeaders,
  toHeaderRecord,
} from "./http_headers.ts";
import { drainOrClose, readBody } from "./http_server.ts";
import {
  type Claim,
  claimKey,
  contentDigest,
  type IdempotencyClaims,
  MAX_REPLAY_BYTES,
  type StoredAnswer,
} from "./idempotency.ts";
import { type MatchedRoute, matchRoute } from "./plain_routes.ts";
import { REPLAY_BYTES, ReplayableBody } from "./replayable_body.ts";

/** Largest body of a call with an idempotency key; it is held to compute its digest. */
const MAX_KEYED_BODY_BYTES = 1 << 20;
const MAX_KEY_LENGTH = 255;

/** Parts of {@link PlainCalls}. */
export interface PlainCallsOptions {
  readonly relay: CallRelay;
  /** Absent where the process has no store; keyed calls are refused then. */
  readonly claims: IdempotencyClaims | null;
}

interface Context {
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
    const c: Context = { req, res, view, account, service, path, route, id };
    const key = req.headers["idempotency-key"];
    const subject = { account, service: service.id, expectedTokens: 0 };
    await trackRequest(this.#ctx, id, subject, async () => {
      if (repeatable || key === undefined) {
        const maxBytes = repeatable ? REPLAY_BYTES : 0;
        const body = new ReplayableBody(req, { maxBytes });
        const sink = new HttpCallSink(res);
        const outcome = await this.#run(c, body, sink, goneSignal(res));
        this.#answer(c, outcome);
      } else await this.#keyed(c, String(key));
    });
  }

  /** Runs a call under its idempotency key, or replays the answer that was given under it. */
  async #keyed(c: Context, key: string): Promise<void> {
    const { claims } = this.#o;
    if (claims === null || key.length === 0 || key.length > MAX_KEY_LENGTH) {
      return this.#refuseKey(claims === null);
    }
    const body = await readBody(c.req, MAX_KEYED_BODY_BYTES);
    const digest = contentDigest(c.req.method!, c.path, body);
    const res = await claims.claim(claimKey(c.account.id, key), digest);
    if (res.type === "replay") return replay(c.res, res.answer);
    const sink = new RecordingSink(new HttpCallSink(c.res));
    const source = new ReplayableBody(oneChunk(body), { maxBytes: body.length });
    // The caller may be gone; its answer is kept for its next try with the same key.
    const stay = new AbortController().signal;
    let outcome: CallOutcome;
    try {
      outcome = await this.#run(c, source, sink, stay);
    } catch (e) {
      const refusal = toRefusal(e, "unknown");
      if (refusal.notRun === true) void claims.release(res.claim);
      throw e;
    }
    this.#settleClaim(claims, res.claim, outcome, sink);
    this.#answer(c, outcome);
  }

  #settleClaim(
    claims: IdempotencyClaims,
    claim: Claim,
    outcome: CallOutcome,
    sink: RecordingSink,
  ): void {
    if (outcome.result === "answered") void claims.complete(claim, sink.answer);
    else if (!outcome.mayHaveRun) void claims.release(claim);
  }

  #refuseKey(noStore: boolean): never {
    if (noStore) {
      const message = "this entry has no store of idempotency keys";
      refuse({ type: "idempotency_unavailable", message, notRun: true });
    }
    const message = `Idempotency-Key: expected 1 to ${MAX_KEY_LENGTH} characters`;
    refuse({ type: "invalid_request", message, notRun: true });
  }

  async #run(
    c: Context,
    body: ReplayableBody,
    sink: CallSink,
    gone: AbortSignal,
  ): Promise<CallOutcome> {
    const { req, view, service, account, path, id } = c;
    const callReq: CallRequest = {
      call: {
        req: id,
        service: service.id,
        account: account.id,
        weight: account.weight,
        method: req.method!,
        path,
        headers: callHeaders(c),
        repeatable: c.route.repeatable,
        revision: view.revision,
        digest: callDigest(service.id, req.method!, path),
        hasBody: hasBody(req),
      },
      versions: chooseVersions(this.#ctx, view, service, id),
      barred: this.#ctx.barred(view, service.id, id),
      route: c.route.name,
      body,
      deadlineMs: this.#ctx.world.clock.now() + startDeadline(req, service.startDeadlineMs),
      gone,
    };
    const outcome = await this.#o.relay.run(callReq, sink);
    const { result, endpoint, attempts, refusal } = outcome;
    const ids = { req: id, account: account.id, endpoint };
    this.#ctx.log.info({ ...ids, attempts, result, reason: refusal?.type }, "call ended");
    return outcome;
  }

  #answer(c: Context, outcome: CallOutcome): void {
    const { result, refusal } = outcome;
    if (refusal !== null) this.#ctx.metrics.countRefusal(refusal.type);
    if (result === "answered" || result === "caller_gone") return;
    // A cut connection tells the caller that the answer is not whole.
    if (result === "broken") return void c.res.destroy();
    sendRefusal(c, refusal!);
  }
}

function sendRefusal(c: Context, refusal: Refusal): void {
  // A body that was not read would otherwise be taken for the next request.
  if (!c.req.complete) c.res.setHeader("connection", "close");
  sendProblem(c.res, refusal);
}

/** The path and query after `/services/{service}`. */
function servicePath(url: string): string {
  const rest = /^\/services\/[^/?]+(.*)$/.exec(url)?.[1] ?? "";
  return rest.startsWith("/") ? rest : `/${rest}`;
}

function callHeaders({ req, account, id }: Context): HeaderList {
  const own = new Set(["x-request-id", "x-client-account"]);
  const headers = forwardedHeaders(parseRawHeaders(req.rawHeaders))
    .filter(([name]) => !own.has(name.toLowerCase()));
  return [...headers, ["x-request-id", id], ["x-client-account", account.id]];
}

function hasBody(req: IncomingMessage): boolean {
  const length = req.headers["content-length"];
  return req.headers["transfer-encoding"] !== undefined || (length !== undefined && length !== "0");
}

/** Digest for quarantine: calls are told apart by route, not by content that streams by. */
function callDigest(service: string, method: string, path: string): string {
  const hash = createHash("sha256").update(`${service}\0${method}\0${path}`);
  return hash.digest("base64url").slice(0, 22);
}

async function* oneChunk(body: Buffer): AsyncIterable<Buffer> {
  if (body.length > 0) yield body;
}

function replay(res: ServerResponse, answer: StoredAnswer): void {
  res.writeHead(answer.status, {
    ...toHeaderRecord(answer.headers),
    "idempotent-replayed": "true",
  });
  res.end(answer.body);
}

/** Sends an answer to the caller. */
class HttpCallSink implements CallSink {
  readonly #res: ServerResponse;

  constructor(res: ServerResponse) {
    this.#res = res;
  }

  head(status: number, headers: HeaderList): void {
    if (!this.#res.destroyed) this.#res.writeHead(status, toHeaderRecord(headers));
  }

  write(bytes: Uint8Array, onDrain: () => void): boolean {
    if (this.#res.destroyed || this.#res.write(bytes)) return true;
    const { promise, settle } = drainOrClose(this.#res);
    void promise.then(onDrain).finally(settle);
    return false;
  }

  end(): void {
    this.#res.end();
  }
}

/** Keeps a copy of an answer while it is small. */
class RecordingSink implements CallSink {
  readonly #sink: CallSink;
  #status = 0;
  #headers: HeaderList = [];
  #chunks: Uint8Array[] = [];
  #bytes = 0;

  constructor(sink: CallSink) {
    this.#sink = sink;
  }

  /** The answer, or `null` where it was too large to keep. */
  get answer(): StoredAnswer | null {
    if (this.#bytes > MAX_REPLAY_BYTES) return null;
    return { status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks) };
  }

  head(status: number, headers: HeaderList): void {
    this.#status = status;
    this.#headers = headers;
    this.#sink.head(status, headers);
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
