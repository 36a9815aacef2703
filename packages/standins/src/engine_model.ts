/**
 * A model without I/O of one engine with continuous batching. Time comes from an injected clock; a single timer
 * advances all generations step by step.
 *
 * @module
 */
import type { Clock, GenerationId, Rng, Undo } from "@wisteriapick/core";
import {
  ENGINE_DEFAULTS,
  type EngineListener,
  type EngineOptions,
  type ModelFinish,
  type ModelLoad,
  type ModelRequest,
  type Seq,
  type VersionBehaviour,
} from "./engine_types.ts";
import { ColdState } from "./cold_state.ts";
import { LaggedLog } from "./lagged_log.ts";
import { VersionFaults } from "./version_faults.ts";
import { PrefixCache } from "./prefix_cache.ts";

const REPORT_INTERVAL_MS = 100;
const MAX_REPORTS = 256;
const MAX_CACHE_EVENTS = 4_096;

/** Models batching, preemption, the prefix cache, cold starts and crashes of an engine. */
export class EngineModel {
  readonly #clock: Clock;
  readonly #rng: Rng;
  readonly #cfg: Required<EngineOptions>;
  readonly #listener: EngineListener;
  readonly #cache: PrefixCache;
  readonly #reports = new LaggedLog<Omit<ModelLoad, "ageMs">>(MAX_REPORTS);
  readonly #cacheLog = new LaggedLog<{ type: "stored" | "evicted"; prefix: string }>(
    MAX_CACHE_EVENTS,
  );
  readonly #faults: VersionFaults;
  #queued: Seq[] = [];
  #running: Seq[] = [];
  #ownTokens = 0;
  #nextOrder = 0;
  #isAlive = true;
  #stalledUntilMs = 0;
  #startedAtMs: number;
  #stepTimer: Undo | null = null;
  /** Set while listeners receive a step's results, so that a `submit` from a listener doesn't start the next step early. */
  #isDeliveringStep = false;
  readonly #coldState: ColdState;
  #lastReportAtMs = -Infinity;
  /** Counts since the engine was created; restarts don't reset them. */
  readonly counts = { preemptions: 0, coldOverloads: 0, crashes: 0, finished: 0, steps: 0 };

  constructor(
    { clock, rng, listener = {}, options = {} }: {
      clock: Clock;
      rng: Rng;
      listener?: EngineListener;
      options?: EngineOptions;
    },
  ) {
    this.#clock = clock;
    this.#rng = rng;
    this.#cfg = { ...ENGINE_DEFAULTS, ...options };
    this.#faults = new VersionFaults(this.#cfg.behaviour);
    this.#listener = listener;
    this.#startedAtMs = clock.now();
    this.#cache = new PrefixCache((type, prefix) => this.#publish(type, prefix));
    this.#coldState = new ColdState(this.#cfg);
    if (this.#cfg.startsCold) this.#coldState.start(-Infinity, 0);
  }

  get alive(): boolean {
    return this.#isAlive;
  }

  get cold(): boolean {
    return this.#coldState.isActive;
  }

  /** Number of generations that the engine can sustain now; infinite when warm. */
  get capacity(): number {
    return this.#coldState.capacity(this.#clock.now());
  }

  get running(): number {
    return this.#running.length;
  }

  get waiting(): number {
    return this.#queued.length;
  }

  get kvUsedTokens(): number {
    return this.#ownTokens + this.#cache.pinnedTokens;
  }

  get kvTotalTokens(): number {
    return this.#cfg.kvTotalTokens;
  }

  /** Running and queued generations, with the tokens produced so far. */
  generations(): { gen: GenerationId; produced: number }[] {
    return [...this.#running, ...this.#queued].map((s) => ({
      gen: s.req.gen,
      produced: s.produced,
    }));
  }

  /**
   * Adds a request. Returns false when the engine is down. A request beyond the capacity of a cold engine crashes it
   * and is counted as a cold overload.
   */
  submit(req: ModelRequest): boolean {
    if (!this.#isAlive) return false;
    const seq: Seq = {
      req,
      order: this.#nextOrder++,
      produced: 0,
      prefillLeft: req.promptTokens,
      ownTokens: 0,
      pinnedTokens: 0,
      cachedTokens: 0,
      failsAt: this.#faults.drawFailure(req, this.#faultContext(), this.#rng),
    };
    this.#enqueue(seq);
    if (this.#running.length + this.#queued.length > Math.max(1, this.capacity)) {
      this.counts.coldOverloads++;
      this.crash("cold_overload");
      return true;
    }
    this.#scheduleStep();
    return true;
  }

  /** Cancels a generation. Returns false for an unknown one. */
  cancel(gen: GenerationId): boolean {
    const seq = this.#running.find((s) => s.req.gen === gen) ??
      this.#queued.find((s) => s.req.gen === gen);
    if (seq === undefined) return false;
    this.#finish(seq, "cancelled");
    return true;
  }

  /** Crashes the engine; its generations and cache are lost. */
  crash(reason: "poison" | "cold_overload" | "killed" = "killed"): void {
    if (!this.#isAlive) return;
    this.#isAlive = false;
    this.counts.crashes++;
    this.#stepTimer?.();
    this.#stepTimer = null;
    const held = [...this.#running, ...this.#queued];
    this.#running = [];
    this.#queued = [];
    this.#ownTokens = 0;
    this.#cache.clear();
    this.#listener.onCrash?.(reason);
    for (const seq of held) {
      this.#listener.onFinish?.(seq.req.gen, "crashed", seq.produced, seq.cachedTokens);
    }
  }

  /** Restarts a crashed engine, by default cold. */
  restart({ cold = true }: { cold?: boolean } = {}): void {
    if (this.#isAlive) return;
    this.#isAlive = true;
    this.#startedAtMs = this.#clock.now();
    this.#stalledUntilMs = 0;
    if (cold) this.#coldState.start(-Infinity, 0);
    else this.#coldState.end();
  }

  /** Turns a warm engine cold without notice: its capacity fades and its steps slow down. */
  turnCold(): void {
    const now = this.#clock.now();
    this.#coldState.start(now, Math.min(this.capacity, this.#cfg.maxBatch));
  }

  /** Suspends steps for `ms`, as on a stalled host. */
  stall(ms: number): void {
    this.#stalledUntilMs = Math.max(this.#stalledUntilMs, this.#clock.now() + ms);
  }

  setBehaviour(behaviour: VersionBehaviour | null): void {
    this.#faults.behaviour = behaviour;
  }

  /** The newest load report that is at least `loadLagMs` old. */
  load(): ModelLoad {
    this.#recordReport();
    const now = this.#clock.now();
    const found = this.#reports.newestUntil(now - this.#cfg.loadLagMs);
    if (found === null) {
      const none = { running: 0, waiting: 0, kvUsedTokens: 0, preemptions: 0 };
      return { ...none, kvTotalTokens: this.#cfg.kvTotalTokens, ageMs: this.#cfg.loadLagMs };
    }
    return { ...found.value, ageMs: now - found.atMs };
  }

  /** Cache events with a `seq` above `after`; they are published late, and lost ones leave gaps in `seq`. */
  cacheEvents(after: number): { seq: number; type: "stored" | "evicted"; prefix: string }[] {
    const until = this.#clock.now() - this.#cfg.cacheEventLagMs;
    return this.#cacheLog.since(after, until).map(({ seq, value }) => ({ seq, ...value }));
  }

  #publish(type: "stored" | "evicted", prefix: string): void {
    const lost = this.#rng.chance(this.#cfg.cacheEventLoss);
    this.#cacheLog.add(this.#clock.now(), { type, prefix }, lost);
  }

  #recordReport(): void {
    const now = this.#clock.now();
    if (now - this.#lastReportAtMs < REPORT_INTERVAL_MS) return;
    this.#lastReportAtMs = now;
    this.#reports.add(now, {
      running: this.#running.length,
      waiting: this.#queued.length,
      kvUsedTokens: this.kvUsedTokens,
      kvTotalTokens: this.#cfg.kvTotalTokens,
      preemptions: this.counts.preemptions,
    });
  }

  #faultContext() {
    return { sinceStartMs: this.#clock.now() - this.#startedAtMs, running: this.#running };
  }

  #enqueue(seq: Seq): void {
    const priority = seq.req.priority ?? 0;
    let i = this.#queued.length;
    while (i > 0) {
      const other = this.#queued[i - 1]!;
      const otherPriority = other.req.priority ?? 0;
      if (otherPriority < priority) break;
      if (otherPriority === priority && other.order < seq.order) break;
      i--;
    }
    this.#queued.splice(i, 0, seq);
  }

  #scheduleStep(): void {
    if (this.#stepTimer !== null || this.#isDeliveringStep || !this.#isAlive) return;
    const wait = this.#stalledUntilMs - this.#clock.now();
    if (wait > 0) {
      this.#stepTimer = this.#clock.setTimer(wait, () => {
        this.#stepTimer = null;
        this.#scheduleStep();
      });
      return;
    }
    this.#admit();
    if (this.#running.length === 0) return;
    if (this.#running.some((s) => s.req.poison === true)) {
      const crashAfterMs = this.#cfg.stepBaseMs;
      this.#stepTimer = this.#clock.setTimer(crashAfterMs, () => this.crash("poison"));
      return;
    }
    this.#freeMemory();
    const prefilled = this.#prefill();
    this.#stepTimer = this.#clock.setTimer(this.#stepMs(prefilled), () => this.#finishStep());
  }

  /** Moves queued generations into the batch while their tokens fit into the KV memory. */
  #admit(): void {
    const { maxBatch, kvTotalTokens } = this.#cfg;
    while (this.#queued.length > 0 && this.#running.length < maxBatch) {
      const seq = this.#queued[0]!;
      const prefixes = seq.req.prefixes ?? [];
      const total = seq.req.promptTokens + seq.produced;
      const cached = this.#cache.cachedTokens(prefixes);
      seq.pinnedTokens = this.#cache.pin(prefixes, cached);
      const own = total - cached;
      // A generation larger than the whole memory is admitted alone, as an engine would truncate it.
      const fits = this.kvUsedTokens + own + this.#running.length < kvTotalTokens;
      if (!fits && this.#running.length > 0) {
        this.#cache.unpin(prefixes, cached);
        return;
      }
      this.#queued.shift();
      seq.cachedTokens = cached;
      seq.ownTokens = own;
      // At least one token is always computed.
      seq.prefillLeft = Math.max(1, own);
      this.#ownTokens += own;
      this.#running.push(seq);
    }
  }

  /** Evicts idle prefixes, then preempts the newest generations of the lowest priority, until the step's tokens fit. */
  #freeMemory(): void {
    const limit = this.#cfg.kvTotalTokens;
    for (;;) {
      const need = this.kvUsedTokens + this.#running.length;
      const over = need + this.#cache.idleTokens - limit;
      if (over > 0 && this.#cache.idleTokens > 0) this.#cache.evict(over);
      if (need <= limit || this.#running.length <= 1) return;
      this.#preempt();
    }
  }

  #preempt(): void {
    let victim = this.#running[0]!;
    for (const seq of this.#running) {
      const d = (seq.req.priority ?? 0) - (victim.req.priority ?? 0);
      if (d > 0 || (d === 0 && seq.order > victim.order)) victim = seq;
    }
    this.counts.preemptions++;
    this.#release(victim);
    this.#enqueue(victim);
  }

  #release(seq: Seq): void {
    const at = this.#running.indexOf(seq);
    if (at < 0) return;
    this.#running.splice(at, 1);
    this.#ownTokens -= seq.ownTokens;
    this.#cache.unpin(seq.req.prefixes ?? [], seq.pinnedTokens);
    seq.ownTokens = 0;
    seq.pinnedTokens = 0;
  }

  /** Spends the step's prefill budget in order of admission; returns the tokens processed. */
  #prefill(): number {
    let budget = this.#cfg.prefillChunkTokens;
    for (const seq of this.#running) {
      if (budget === 0) break;
      if (seq.prefillLeft === 0) continue;
      const n = Math.min(budget, seq.prefillLeft);
      seq.prefillLeft -= n;
      budget -= n;
      if (seq.prefillLeft === 0) this.#storePrefixes(seq);
    }
    return this.#cfg.prefillChunkTokens - budget;
  }

  /** Transfers the prefixes of a processed prompt to the cache. */
  #storePrefixes(seq: Seq): void {
    const prefixes = seq.req.prefixes ?? [];
    if (prefixes.length === 0) return;
    this.#cache.unpin(prefixes, seq.pinnedTokens);
    const total = seq.ownTokens + seq.pinnedTokens;
    seq.pinnedTokens = this.#cache.pin(prefixes, Infinity);
    this.#ownTokens += total - seq.pinnedTokens - seq.ownTokens;
    seq.ownTokens = total - seq.pinnedTokens;
  }

  #stepMs(prefilled: number): number {
    const { stepBaseMs, stepPerGenMs, stepPerKvTokenMs, prefillPerTokenMs, slowness } = this.#cfg;
    const ms = stepBaseMs + stepPerGenMs * this.#running.length +
      stepPerKvTokenMs * this.kvUsedTokens + prefillPerTokenMs * prefilled;
    return ms * slowness * this.#coldState.stepFactor(this.#running.length, this.#clock.now()) *
      this.#faults.slowFactor(this.#faultContext());
  }

  #finishStep(): void {
    this.#stepTimer = null;
    this.counts.steps++;
    this.#recordReport();
    const gens: GenerationId[] = [];
    const produced: number[] = [];
    const ended: Seq[] = [];
    for (const seq of this.#running) {
      if (seq.prefillLeft > 0) continue;
      if (seq.produced >= seq.failsAt) {
        ended.push(seq);
        continue;
      }
      seq.produced++;
      seq.ownTokens++;
      this.#ownTokens++;
      gens.push(seq.req.gen);
      produced.push(seq.produced);
      if (this.#isDone(seq)) ended.push(seq);
    }
    this.#coldState.recordTokens(gens.length);
    this.#isDeliveringStep = true;
    this.#listener.onStep?.({ atMs: this.#clock.now(), gens, produced });
    for (const seq of ended) {
      if (this.#running.includes(seq)) this.#finish(seq, this.#finishReasonOf(seq));
    }
    this.#isDeliveringStep = false;
    this.#scheduleStep();
  }

  #isDone(seq: Seq): boolean {
    return seq.produced >= Math.min(seq.req.outputTokens, seq.req.maxTokens ?? Infinity);
  }

  #finishReasonOf(seq: Seq): ModelFinish {
    if (!this.#isDone(seq)) return "failed";
    return seq.produced >= seq.req.outputTokens ? "stop" : "length";
  }

  #finish(seq: Seq, how: ModelFinish): void {
    this.#release(seq);
    const at = this.#queued.indexOf(seq);
    if (at >= 0) this.#queued.splice(at, 1);
    this.counts.finished++;
    this.#listener.onFinish?.(seq.req.gen, how, seq.produced, seq.cachedTokens);
  }
}
