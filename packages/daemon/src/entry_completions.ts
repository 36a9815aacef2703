/**
 * The OpenAI-compatible routes of the entry.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Refusal, refuse, requestId } from "@wisteriapick/core";
import type { Account } from "@wisteriapick/control";
import { parseCompletionRequest, type ResumeSigner, TokenCursor } from "@wisteriapick/delivery";
import type { LengthEstimator } from "@wisteriapick/policy";
import type { Resume } from "@wisteriapick/wire";
import { authenticate, authorizeService } from "./entry_auth.ts";
import {
  chooseVersions,
  disconnectSignal,
  type EntryContext,
  startTimeoutMs,
  trackRequest,
} from "./entry_context.ts";
import { followGeneration, type FollowResult } from "./entry_follower.ts";
import type { GenerationRelay, RelayLimits, RelayOutcome, RelayRequest } from "./entry_relay.ts";
import { BufferedResponseSink, StreamingResponseSink } from "./entry_sinks.ts";
import type { LinkSource } from "./link_source.ts";
import { summarisePrompt } from "./prompt_summary.ts";

/** Dependencies and limits of {@link Completions}. */
export interface CompletionsOptions {
  readonly relay: GenerationRelay;
  readonly signer: ResumeSigner;
  readonly links: LinkSource;
  readonly limits: RelayLimits;
  readonly lengths: LengthEstimator;
  readonly maxBodyBytes: number;
}

/** Serves completions and their resumption. */
export class Completions {
  readonly #ctx: EntryContext;
  readonly #o: CompletionsOptions;

  constructor(ctx: EntryContext, options: CompletionsOptions) {
    this.#ctx = ctx;
    this.#o = options;
  }

  /** `POST /v1/chat/completions` and `POST /v1/completions`. */
  async complete(
    format: "chat" | "text",
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    // A caller that retries its request with the last event id expects the rest of the same response.
    if (req.headers["last-event-id"] !== undefined) return await this.resume(req, res);
    this.#ctx.assertServing();
    const { relayReq, account } = await this.#parse(format, req, res);
    const { run, completion, expectedTokens } = relayReq;
    const { req: id, service } = run;
    const sink = completion.stream
      ? new StreamingResponseSink(res, { includeUsage: completion.includeUsage, isResumed: false })
      : new BufferedResponseSink(res);
    const outcome = await trackRequest(
      this.#ctx,
      id,
      { account, service, expectedTokens },
      () => this.#o.relay.run(relayReq, sink),
    );
    this.#logOutcome(relayReq, outcome);
  }

  /** Sends the rest of a streamed response, after the event that `Last-Event-ID` names. */
  async resume(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const account = authenticate(this.#ctx.config.current(), req.headers.authorization);
    const id = req.headers["last-event-id"];
    if (typeof id !== "string") {
      refuse({ type: "invalid_request", message: "Last-Event-ID is required", notRun: true });
    }
    const { clock } = this.#ctx.world;
    const resumePoint = this.#o.signer.verify(id, { account: account.id, wallMs: clock.wall() });
    const { ref } = resumePoint;
    const offset = resumePoint.offset + 1;
    const sink = new StreamingResponseSink(res, {
      includeUsage: ref.includeUsage,
      isResumed: true,
    });
    const head = { format: ref.format, gen: ref.gen, model: ref.service, created: ref.created };
    sink.begin(head, resumePoint.signed);
    const opening: Resume = { kind: "resume", gen: ref.gen, account: account.id, offset };
    const result = await followGeneration(ref.side, opening, {
      clock,
      links: this.#o.links,
      limits: this.#o.limits,
      sink,
      cursor: new TokenCursor(offset),
      callerSignal: disconnectSignal(res),
    });
    this.#ctx.log.info({ gen: ref.gen, account: account.id, result: result.type }, "resume ended");
    this.#finishResume(sink, result);
  }

  #finishResume(sink: StreamingResponseSink, result: FollowResult): void {
    if (result.type === "caller_gone") return;
    if (result.type === "end" && result.end.reason !== "cancelled") {
      return sink.end(result.end.reason, result.end);
    }
    const refusal = resumeRefusal(result);
    this.#ctx.metrics.countRefusal(refusal.type);
    sink.fail(refusal);
  }

  async #parse(
    format: "chat" | "text",
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<{ relayReq: RelayRequest; account: Account }> {
    const view = this.#ctx.config.current();
    const account = authenticate(view, req.headers.authorization);
    const body = await this.#ctx.bodies.read(req, res, { maxBytes: this.#o.maxBodyBytes });
    const completion = parseCompletionRequest(format, body.toString("utf8"));
    const service = authorizeService(view, account, completion.model, "model");
    const id = requestId(this.#ctx.makeId("r"));
    res.setHeader("x-request-id", id);
    const startMs = startTimeoutMs(req, service.startDeadlineMs);
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
        ...summarisePrompt(format, service.id, completion.prompt),
      },
      versions: chooseVersions(this.#ctx, view, service, id),
      ineligibleEndpoints: this.#ctx.ineligibleEndpoints(view, service.id, id),
      completion,
      expectedTokens: this.#o.lengths.expectedRemaining(
        service.id,
        account.id,
        0,
        completion.maxTokens,
      ),
      deadlineMs: this.#ctx.world.clock.now() + startMs,
      callerSignal: disconnectSignal(res),
    };
    return { relayReq, account };
  }

  #logOutcome(req: RelayRequest, outcome: RelayOutcome): void {
    const { gen, endpoint, attempts, result, refusal, tokens } = outcome;
    const { service, account } = req.run;
    if (result === "end") this.#o.lengths.recordEnd(service, account, tokens, 0);
    const ids = { req: req.run.req, gen, account: req.run.account, endpoint };
    const reason = refusal?.type;
    this.#ctx.log.info({ ...ids, attempts, result, reason }, "generation request ended");
  }
}

function resumeRefusal(result: FollowResult): Refusal {
  if (result.type === "fail") return result.refusal;
  if (result.type === "end") {
    return { type: "cancelled", message: "the generation was cancelled", notRun: false };
  }
  return { type: "side_lost", message: "the side cannot be reached", notRun: false };
}
