/**
 * Checkers of what callers receive: promises 1, 5, 6, 7 and 9.
 *
 * @module
 */
import type { GenerationId, ProcessId, RequestId } from "@wisteriapick/core";
import { Checker } from "./checker.ts";
import type { HistoryEvent } from "./history.ts";

/** What one generation produced at its endpoint. */
interface Produced {
  readonly req: RequestId;
  readonly tokens: string[];
  done: boolean;
}

/** Follows the generations of a history. */
class Generations {
  readonly byId = new Map<GenerationId, Produced>();
  readonly byRequest = new Map<RequestId, GenerationId[]>();

  add(event: HistoryEvent): void {
    if (event.type === "work_started") this.#start(event.gen, event.req);
    else if (event.type === "token_produced") {
      this.byId.get(event.gen)!.tokens[event.offset] = event.text;
    } else if (event.type === "work_ended" && event.how === "done") {
      this.byId.get(event.gen)!.done = true;
    }
  }

  of(req: RequestId): Produced[] {
    return (this.byRequest.get(req) ?? []).map((gen) => this.byId.get(gen)!);
  }

  #start(gen: GenerationId, req: RequestId): void {
    this.byId.set(gen, { req, tokens: [], done: false });
    const gens = this.byRequest.get(req) ?? [];
    gens.push(gen);
    this.byRequest.set(req, gens);
  }
}

function isPrefix(received: readonly string[], tokens: readonly string[]): boolean {
  return received.length <= tokens.length && received.every((text, i) => text === tokens[i]);
}

/** Promise 1: each token reaches the caller once, in order, from one generation. */
export class TokenOrderChecker extends Checker {
  readonly promise = 1;
  readonly #generations = new Generations();
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
      this.violate(at, `${req}: token ${offset} received where ${received.length} was due`);
      return;
    }
    received.push(text);
    const possible = this.#generations.of(req).some((g) => isPrefix(received, g.tokens));
    if (!possible) this.violate(at, `${req}: tokens 0 to ${offset} are not of one generation`);
  }
}

/**
 * Promise 5: every caller gets the whole answer to its own request. An answer that ended holds every token of a
 * finished generation of that request; every request ends, fails with a type, or its caller leaves.
 */
export class WholeAnswerChecker extends Checker {
  readonly promise = 5;
  readonly #generations = new Generations();
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
    for (const req of this.#open.keys()) this.violate(length, `${req}: no answer and no failure`);
  }

  #onEnded(req: RequestId, at: number): void {
    this.examine();
    const received = this.#open.get(req);
    this.#open.delete(req);
    if (received === undefined) {
      this.violate(at, `${req}: answered twice, or never sent`);
      return;
    }
    const whole = this.#generations.of(req).some((g) =>
      g.done && g.tokens.length === received.length && isPrefix(received, g.tokens)
    );
    if (!whole) {
      this.violate(
        at,
        `${req}: ended with ${received.length} tokens, not a whole answer of its own`,
      );
    }
  }
}

/** Promise 6: a refusal that says "not run" is true, at that moment and later. */
export class NotRunChecker extends Checker {
  readonly promise = 6;
  readonly #started = new Set<RequestId>();
  readonly #saidNotRun = new Set<RequestId>();

  protected onEvent(event: HistoryEvent, at: number): void {
    if (event.type === "work_started") {
      this.#started.add(event.req);
      if (this.#saidNotRun.has(event.req)) {
        this.violate(at, `${event.req}: started after "not run"`);
      }
    } else if (event.type === "answer_failed" && event.notRun === true) {
      this.examine();
      this.#saidNotRun.add(event.req);
      if (this.#started.has(event.req)) this.violate(at, `${event.req}: "not run", but it ran`);
    }
  }
}

/** Promise 7: what may not be repeated runs at most once. */
export class AtMostOnceChecker extends Checker {
  readonly promise = 7;
  readonly #once = new Set<RequestId>();
  readonly #runs = new Map<RequestId, number>();

  protected onEvent(event: HistoryEvent, at: number): void {
    if (event.type === "request_sent" && !event.repeatable) this.#once.add(event.req);
    if (event.type !== "work_started" || !this.#once.has(event.req)) return;
    this.examine();
    const runs = (this.#runs.get(event.req) ?? 0) + 1;
    this.#runs.set(event.req, runs);
    if (runs > 1) this.violate(at, `${event.req}: may not be repeated and ran ${runs} times`);
  }
}

/** Promise 9: a planned stop cuts off no request. */
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
