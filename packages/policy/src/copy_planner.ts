/**
 * Decides which run's memory is copied to which engine, and when. Load pattern: engines that leave
 * at two seconds' notice, each with several long runs that different gateways own. Copies share the
 * links of the engines at both ends, and a run that is stopped for the last segment of its copy
 * must not be queued behind the first copy of another run. Therefore each engine's link carries one
 * copy at a time.
 *
 * @module
 */

/** A request to copy a run from its engine to another. */
export interface CopyJob {
  /** Unique among all jobs. */
  readonly id: string;
  readonly source: string;
  /** Memory to copy, in tokens. */
  readonly tokens: number;
  readonly requestedAtMs: number;
  /** Whether the copy is proactive: made while the engine stays. Otherwise the run must leave its engine. */
  readonly isProactive: boolean;
}

/** An engine to which a run may be copied. */
export interface CopyTarget {
  readonly endpoint: string;
  /** Peak memory forecast with the run, as a fraction of the engine's memory. */
  readonly peak: number;
  /** Duration of the copy on idle links, in milliseconds. */
  readonly copyMs: number;
  /** Cost of the gaps that the run would have there, as a fraction of an engine's memory; 0 by default. */
  readonly gapCost?: number;
}

/** A copy that may start now. */
export interface GrantedCopy<J extends CopyJob> {
  readonly job: J;
  readonly target: CopyTarget;
}

interface ActiveCopy {
  readonly source: string;
  readonly target: string;
  readonly isProactive: boolean;
  readonly expiresAtMs: number;
}

/** Options of {@link CopyPlanner}. */
export interface CopyPlannerOptions<J extends CopyJob> {
  /** Engines to which a run may be copied now; its own engine and full or busy ones are left out. */
  readonly findTargets: (job: J, isBusy: (endpoint: string) => boolean) => readonly CopyTarget[];
}

/** A copy whose end is not reported occupies its links for this many times its expected duration. */
const EXPIRY_FACTOR = 3;
/** Time to start the copy and to switch the run over, besides the copy itself, in milliseconds. */
const OVERHEAD_MS = 150;
/** A job that has been pending for this long is dropped; by then its engine is gone. */
const JOB_TTL_MS = 15_000;
/** Time after which a target is sought again for a proactive copy that found none, in milliseconds. */
const PROACTIVE_RETRY_DELAY_MS = 150;
/** Copy duration that weighs as much as all of an engine's memory when a target is chosen, in milliseconds. */
const FULL_MEMORY_COPY_MS = 800;

/**
 * Plans the copies of one service.
 *
 * @example
 * ```ts
 * const planner = new CopyPlanner({ findTargets });
 * planner.add({ id: "run-1", source: "scribe-1", tokens: 4_000, requestedAtMs: nowMs, isProactive: false });
 * for (const { job, target } of planner.grant(nowMs)) copy(job, target);
 * ```
 */
export class CopyPlanner<J extends CopyJob> {
  readonly #findTargets: CopyPlannerOptions<J>["findTargets"];
  readonly #pendingJobs = new Map<string, J>();
  readonly #retryAtMs = new Map<string, number>();
  readonly #active = new Map<string, ActiveCopy>();
  readonly #isBusy = (endpoint: string): boolean => this.#busyEndpoints.has(endpoint);
  /** Engines at either end of an active copy. */
  #busyEndpoints = new Set<string>();

  constructor({ findTargets }: CopyPlannerOptions<J>) {
    this.#findTargets = findTargets;
  }

  get pendingCount(): number {
    return this.#pendingJobs.size;
  }

  /** Adds a job, or replaces the one with the same id. */
  add(job: J): void {
    this.remove(job.id);
    this.#pendingJobs.set(job.id, job);
  }

  /** Removes a pending job, or frees the links of its active copy. */
  remove(id: string): void {
    this.#pendingJobs.delete(id);
    this.#retryAtMs.delete(id);
    if (this.#active.delete(id)) this.#updateBusy();
  }

  /**
   * Grants all copies that can start now. The smallest goes first, so that as many runs as possible
   * are saved in time. Proactive copies are granted only while no run has to leave its engine.
   */
  grant(nowMs: number): GrantedCopy<J>[] {
    this.#expire(nowMs);
    const granted: GrantedCopy<J>[] = [];
    const jobs = [...this.#pendingJobs.values()].sort((a, b) =>
      Number(a.isProactive) - Number(b.isProactive) || a.tokens - b.tokens
    );
    const isEvacuating = jobs.some((job) => !job.isProactive) || this.#hasUrgentCopy();
    for (const job of jobs) {
      if (job.isProactive && isEvacuating) break;
      if (this.#busyEndpoints.has(job.source)) continue;
      if (nowMs < (this.#retryAtMs.get(job.id) ?? -Infinity)) continue;
      const target = this.#chooseTarget(job);
      if (target === null) {
        if (job.isProactive) this.#retryAtMs.set(job.id, nowMs + PROACTIVE_RETRY_DELAY_MS);
        continue;
      }
      this.#start(job, target, nowMs);
      granted.push({ job, target });
    }
    return granted;
  }

  #start({ id, source, isProactive }: J, { endpoint, copyMs }: CopyTarget, nowMs: number): void {
    this.remove(id);
    const expiresAtMs = nowMs + EXPIRY_FACTOR * copyMs + OVERHEAD_MS;
    this.#active.set(id, { source, target: endpoint, isProactive, expiresAtMs });
    this.#updateBusy();
  }

  #chooseTarget(job: J): CopyTarget | null {
    let best: CopyTarget | null = null;
    let bestCost = Infinity;
    for (const target of this.#findTargets(job, this.#isBusy)) {
      if (this.#busyEndpoints.has(target.endpoint)) continue;
      const cost = target.peak + target.copyMs / FULL_MEMORY_COPY_MS + (target.gapCost ?? 0);
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    return best;
  }

  #hasUrgentCopy(): boolean {
    return [...this.#active.values()].some((copy) => !copy.isProactive);
  }

  #updateBusy(): void {
    const endpoints = [...this.#active.values()].flatMap(({ source, target }) => [source, target]);
    this.#busyEndpoints = new Set(endpoints);
  }

  #expire(nowMs: number): void {
    for (const [id, { expiresAtMs }] of this.#active) if (expiresAtMs <= nowMs) this.remove(id);
    for (const [id, { requestedAtMs }] of this.#pendingJobs) {
      if (nowMs - requestedAtMs > JOB_TTL_MS) this.remove(id);
    }
  }
}
