/**
 * Sends an open-loop load: each request is sent at its planned time, however slow the responses are.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";
import { Agent, request } from "undici";
import { type CompletionEnd, streamCompletion } from "../completion_stream.ts";
import { type LoadOptions, planLoad, type PlannedRequest } from "./load_plan.ts";
import { type GroupSummary, LoadGroup, StallMeter } from "./load_stats.ts";

/** Counts of one second of a run. */
export interface LoadSecond {
  sent: number;
  completed: number;
  tokens: number;
  problems: number;
}

/** Result of a run. It does not include the API keys. */
export interface LoadResult {
  readonly options: {
    readonly url: string;
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    readonly seed: number;
  };
  /** Time from the first to the last event. */
  readonly elapsedMs: number;
  readonly notSent: number;
  readonly total: GroupSummary;
  readonly services: Record<string, GroupSummary>;
  readonly accounts: Record<string, GroupSummary>;
  readonly seconds: readonly LoadSecond[];
}

/** Time after the last arrival until requests that are still open are aborted. */
const DRAIN_MS = 30_000;

/** One run of a planned load. */
export class LoadRun {
  readonly #options: LoadOptions;
  readonly #clock: Clock;
  readonly #agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  readonly #total = new LoadGroup();
  readonly #services = new Map<string, LoadGroup>();
  readonly #accounts = new Map<string, LoadGroup>();
  readonly #seconds: LoadSecond[] = [];
  readonly #abort = new AbortController();
  readonly #openRequests = new Set<Promise<void>>();
  #startMs = 0;
  #notSent = 0;
  #stopped = false;

  constructor(options: LoadOptions, clock: Clock) {
    this.#options = options;
    this.#clock = clock;
  }

  get progress(): { sent: number; completed: number; open: number; problems: number } {
    let problems = 0;
    for (const n of this.#total.problems.values()) problems += n;
    const { sent, completed } = this.#total;
    return { sent, completed, open: this.#openRequests.size, problems };
  }

  /** Stops sending; the run ends when the open requests have ended. */
  stop(): void {
    this.#stopped = true;
  }

  /** Sends the planned requests, waits for the open ones and returns the result. */
  async run(): Promise<LoadResult> {
    this.#startMs = this.#clock.now();
    for (const req of planLoad(this.#options)) {
      const waitMs = this.#startMs + req.atMs - this.#clock.now();
      if (waitMs > 0) await this.#clock.sleep(waitMs);
      if (this.#stopped) break;
      this.#startRequest(req);
    }
    await this.#drain();
    return this.#result();
  }

  #startRequest(req: PlannedRequest): void {
    if (this.#openRequests.size >= this.#options.maxOpen) {
      this.#notSent++;
      return;
    }
    const groups = this.#groupsOf(req);
    for (const group of groups) group.sent++;
    this.#currentSecond().sent++;
    const pending = this.#send(req, groups).finally(() => this.#openRequests.delete(pending));
    this.#openRequests.add(pending);
  }

  async #send(req: PlannedRequest, groups: readonly LoadGroup[]): Promise<void> {
    // Latency counts from the planned time, so that a late sender does not hide queueing (coordinated omission).
    const meter = new StallMeter(this.#startMs + req.atMs);
    const onToken = () => {
      const isFirst = meter.tokens === 0;
      const waitMs = meter.record(this.#clock.now());
      this.#currentSecond().tokens++;
      for (const group of groups) (isFirst ? group.firstToken : group.gap).record(waitMs);
    };
    let problem: string | null;
    try {
      const end =
        await (req.kind === "plain" ? this.#checkStock(req) : this.#generate(req, onToken));
      if (req.kind === "plain" && end.error === null) onToken();
      problem = end.error;
    } catch {
      problem = this.#abort.signal.aborted ? "unfinished" : "connection_broken";
    }
    this.#record(groups, meter, problem);
  }

  #record(groups: readonly LoadGroup[], meter: StallMeter, problem: string | null): void {
    if (problem === null) this.#currentSecond().completed++;
    else this.#currentSecond().problems++;
    for (const group of groups) {
      if (meter.tokens > 0) group.stall.record(meter.stallMs);
      if (problem === null) {
        group.completed++;
        group.tokens += meter.tokens;
      } else group.countProblem(problem);
    }
  }

  #generate(req: PlannedRequest, onToken: () => void): Promise<CompletionEnd> {
    const body = {
      model: req.service,
      stream: true,
      max_tokens: req.maxTokens,
      messages: [{ role: "user", content: req.prompt }],
    };
    const options = { dispatcher: this.#agent, signal: this.#abort.signal };
    return streamCompletion(this.#options.url, req.account.key, body, onToken, options);
  }

  async #checkStock(req: PlannedRequest): Promise<CompletionEnd> {
    const res = await request(`${this.#options.url}/services/${req.service}/stock/${req.prompt}`, {
      headers: { authorization: `Bearer ${req.account.key}` },
      dispatcher: this.#agent,
      signal: this.#abort.signal,
    });
    const body = await res.body.text();
    const status = res.statusCode;
    if (status === 200) return { status, error: null, finishReason: "stop" };
    return { status, error: errorType(body) ?? `status_${status}`, finishReason: null };
  }

  async #drain(): Promise<void> {
    const cancelTimeout = this.#clock.setTimer(DRAIN_MS, () => this.#abort.abort());
    await Promise.all(this.#openRequests);
    cancelTimeout();
    await this.#agent.destroy();
  }

  #groupsOf(req: PlannedRequest): LoadGroup[] {
    const getOrCreate = (map: Map<string, LoadGroup>, name: string) => {
      const group = map.get(name) ?? new LoadGroup();
      map.set(name, group);
      return group;
    };
    return [
      this.#total,
      getOrCreate(this.#services, req.service),
      getOrCreate(this.#accounts, req.account.name),
    ];
  }

  #currentSecond(): LoadSecond {
    const index = Math.max(0, Math.floor((this.#clock.now() - this.#startMs) / 1_000));
    while (this.#seconds.length <= index) {
      this.#seconds.push({ sent: 0, completed: 0, tokens: 0, problems: 0 });
    }
    return this.#seconds[index]!;
  }

  #result(): LoadResult {
    const elapsedMs = Math.max(1, this.#clock.now() - this.#startMs);
    const { url, requestsPerSecond, durationMs, seed } = this.#options;
    const summaries = (map: Map<string, LoadGroup>) =>
      Object.fromEntries([...map].sort().map(([name, g]) => [name, g.summary(elapsedMs)]));
    return {
      options: { url, requestsPerSecond, durationMs, seed },
      elapsedMs,
      notSent: this.#notSent,
      total: this.#total.summary(elapsedMs),
      services: summaries(this.#services),
      accounts: summaries(this.#accounts),
      seconds: this.#seconds,
    };
  }
}

function errorType(body: string): string | null {
  try {
    const type = (JSON.parse(body) as { type?: unknown }).type;
    return typeof type === "string" ? type : null;
  } catch {
    return null;
  }
}
