/**
 * Checkers of what callers receive: token order, complete response, truthful "not run", at-most-once, planned stop.
 *
 * @module
 */
import type { GenerationId, ProcessId, RequestId } from "@wisteriapick/core";
import { Checker } from "./checker.ts";
import type { HistoryEvent } from "./history.ts";

/** Tokens that one generation has produced at its endpoint. */
interface GenerationOutput {
  readonly req: RequestId;
  readonly tokens: string[];
  isCompleted: boolean;
}

/** Output of the generations of a history, by generation and by request. */
class GenerationIndex {
  readonly byId = new Map<GenerationId, GenerationOutput>();
  readonly byRequest = new Map<RequestId, GenerationId[]>();

  add(event: HistoryEvent): void {
    if (event.type === "work_started") this.#start(event.gen, event.req);
    else if (event.type === "token_produced") {
      this.byId.get(event.gen)!.tokens[event.offset] = event.text;
    } else if (event.type === "work_ended" && event.how === "done") {
      this.byId.get(event.gen)!.isCompleted = true;
    }
  }

  of(req: RequestId): GenerationOutput[] {
    return (this.byRequest.get(req) ?? []).map((gen) => this.byId.get(gen)!);
  }

  #start(gen: GenerationId, req: RequestId): void {
    this.byId.set(gen, { req, tokens: [], isCompleted: false });
    const gens = this.byRequest.get(req) ?? [];
    gens.push(gen);
    this.byRequest.set(req, gens);
  }
}

function isPrefix(received: readonly string[], tokens: readonly string[]): boolean {
  return received.length <= tokens.length && received.every((text, i) => text === tokens[i]);
}

/** Token order: each token reaches the caller once, in order, and all come from one generation. */
export class TokenOrderChecker extends Checker {
  readonly promise = 1;
  readonly #generations = new GenerationIndex();
  readonly #received = new Map<RequestId, string[]>();

  protected onEvent(event: HistoryEvent, at: number): void {
    this.#generations.add(event);
    if (event.type === "token_received") this.#onToken(event.req, event.offset, event.text, at);
  }

  #onToken(req: RequestId, offset: number, text: string, at: number): void {
    this.examine();
    const received = this.#received.get(req) ?? [];
    this.#received.set(req, received);
    if (offset !== received.length) {
      this.violate(at, `${req}: received token ${offset}, expected token ${received.length}`);
      return;
    }
    received.push(text);
    const hasMatch = this.#generations.of(req).some((g) => isPrefix(received, g.tokens));
    if (!hasMatch) this.violate(at, `${req}: tokens 0 to ${offset} match no generation`);
  }
}

/**
 * Complete response: every caller gets the complete response to its own request. A response that ended holds every
 * token of a completed generation of that request; every request ends, fails with an error type, or its caller leaves.
 */
export class CompleteResponseChecker extends Checker {
  readonly promise = 5;
  readonly #generations = new GenerationIndex();
  readonly #open = new Map<RequestId, string[]>();

  protected onEvent(event: HistoryEvent, at: number): void {
    this.#generations.add(event);
    if (event.type === "request_sent") this.#open.set(event.req, []);
    else if (event.type === "token_received") this.#open.get(event.req)?.push(event.text);
    else if (event.type === "answer_ended") this.#onEnded(event.req, at);
    else if (event.type === "answer_failed" || event.type === "caller_left") {
      this.#open.delete(event.req);
    }
  }

  protected override onEnd(length: number): void {
    for (const req of this.#open.keys()) this.violate(length, `${req}: no response, no failure`);
  }

  #onEnded(req: RequestId, at: number): void {
    this.examine();
    const received = this.#open.get(req);
    this.#open.delete(req);
    if (received === undefined) {
      this.violate(at, `${req}: response ended twice, or request never sent`);
      return;
    }
    const isComplete = this.#generations.of(req).some((g) =>
      g.isCompleted && g.tokens.length === received.length && isPrefix(received, g.tokens)
    );
    if (!isComplete) {
      this.violate(
        at,
        `${req}: ended with ${received.length} tokens, not a complete response to this request`,
      );
    }
  }
}

/** Truthful "not run": a request that fails as not run has not run by then and doesn't run later. */
export class NotRunChecker extends Checker {
  readonly promise = 6;
  readonly #started = new Set<RequestId>();
  readonly #saidNotRun = new Set<RequestId>();

  protected onEvent(event: HistoryEvent, at: number): void {
    if (event.type === "work_started") {
      this.#started.add(event.req);
      if (this.#saidNotRun.has(event.req)) {
        this.violate(at, `${event.req}: started after it was reported as not run`);
      }
    } else if (event.type === "answer_failed" && event.notRun === true) {
      this.examine();
      this.#saidNotRun.add(event.req);
      if (this.#started.has(event.req)) this.violate(at, `${event.req}: "not run", but it ran`);
    }
  }
}

/** At-most-once: a request that isn't repeatable runs at most once. */
export class AtMostOnceChecker extends Checker {
  readonly promise = 7;
  readonly #nonRepeatable = new Set<RequestId>();
  readonly #runCounts = new Map<RequestId, number>();

  protected onEvent(event: HistoryEvent, at: number): void {
    if (event.type === "request_sent" && !event.repeatable) this.#nonRepeatable.add(event.req);
    if (event.type !== "work_started" || !this.#nonRepeatable.has(event.req)) return;
    this.examine();
    const runs = (this.#runCounts.get(event.req) ?? 0) + 1;
    this.#runCounts.set(event.req, runs);
    if (runs > 1) this.violate(at, `${event.req}: not repeatable, but ran ${runs} times`);
  }
}

/** Planned stop: a process that stops as planned cuts no request. */
export class PlannedStopChecker extends Checker {
  readonly promise = 9;
  readonly #stopping = new Set<ProcessId>();

  protected onEvent(event: HistoryEvent, at: number): void {
    if (event.type === "process_stop_planned") {
      this.examine();
      this.#stopping.add(event.process);
    } else if (event.type === "process_killed" || event.type === "process_started") {
      this.#stopping.delete(event.process);
    } else if (event.type === "request_cut" && this.#stopping.has(event.process)) {
      this.violate(at, `${event.req}: cut by the planned stop of ${event.process}`);
    }
  }
}
