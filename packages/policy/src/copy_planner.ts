/**
 * Decides which run is copied where and when. Load pattern: engines that leave at two seconds' notice with several long
 * runs each, owned by different gateways. Copies share the links of the engines at both ends; a run that is stopped for
 * the rest of its copy must not wait behind another run's first copy. So each link carries one copy at a time.
 *
 * @module
 */

/** A run that must leave its engine. */
export interface CopyJob {
  /** Unique among all orders. */
  readonly id: string;
  readonly source: string;
  /** Memory to copy. */
  readonly tokens: number;
  readonly requestedAtMs: number;
  /** Whether the copy is made ahead, while the engine stays. */
  readonly isProactive: boolean;
}

/** An engine to which a run may be copied. */
export interface CopyTarget {
  readonly endpoint: string;
  /** Memory that would be used at its peak with the run, as a part of the engine's. */
  readonly peak: number;
  /** Time that the copy takes on idle links, in milliseconds. */
  readonly copyMs: number;
}

/** Leave to copy a run. */
export interface GrantedCopy<O extends CopyJob> {
  readonly job: O;
  readonly target: CopyTarget;
}

interface ActiveCopy {
  readonly source: string;
  readonly target: string;
  readonly isAhead: boolean;
  readonly untilMs: number;
}

/** Options of {@link CopyPlanner}. */
export interface CopyPlannerOptions<O extends CopyJob> {
  /** Engines to which a run may be copied now; its own, full and busy ones are left out. */
  readonly findTargets: (order: O, isBusy: (endpoint: string) => boolean) => readonly CopyTarget[];
}

/** A copy whose end is not reported holds its links for this many times its expected duration. */
const EXPIRY_FACTOR = 3;
/** Time for the order and the switch besides the copy itself, in milliseconds. */
const SWITCH_MS = 150;
/** An order that could not be met for this long is dropped; its engine is gone by then. */
const ORDER_TTL_MS = 15_000;
/** Time before an order for a copy ahead that found no engine is looked at again, in milliseconds. */
const AHEAD_RETRY_MS = 150;
/** Copy time that weighs as much as all of an engine's memory when a target is chosen, in milliseconds. */
const COPY_SCALE_MS = 800;

/**
 * Plans the copies of one service.
 *
 * @example
 * ```ts
 * const planner = new CopyPlanner({ targets });
 * planner.add({ id: "run-1", source: "scribe-1", tokens: 4_000, requestedAtMs: nowMs });
 * for (const { order, target } of planner.grant(nowMs)) copy(order, target);
 * ```
 */
export class CopyPlanner<O extends CopyJob> {
  readonly #targets: CopyPlannerOptions<O>["findTargets"];
  readonly #orders = new Map<string, O>();
  readonly #notBeforeMs = new Map<string, number>();
  readonly #active = new Map<string, ActiveCopy>();
  readonly #isBusy = (endpoint: string): boolean => this.#busy.has(endpoint);
  /** Engines at either end of an active copy. */
  #busy = new Set<string>();

  constructor({ findTargets: targets }: CopyPlannerOptions<O>) {
    this.#targets = targets;
  }

  get pendingCount(): number {
    return this.#orders.size;
  }

  /** Adds an order, or replaces the one with its id. */
  add(order: O): void {
    this.remove(order.id);
    this.#orders.set(order.id, order);
  }

  /** Removes an order, or frees the links of its copy. */
  remove(id: string): void {
    this.#orders.delete(id);
    this.#notBeforeMs.delete(id);
    if (this.#active.delete(id)) this.#findBusy();
  }

  /**
   * Gives leave to all copies that can be made now. The smallest goes first, so that most runs get away; copies are
   * made ahead only while no run has to leave.
   */
  grant(nowMs: number): GrantedCopy<O>[] {
    this.#expire(nowMs);
    const leaves: GrantedCopy<O>[] = [];
    const orders = [...this.#orders.values()].sort((a, b) =>
      Number(a.isProactive) - Number(b.isProactive) || a.tokens - b.tokens
    );
    const mustLeave = orders.some((order) => !order.isProactive) || this.#isAnyLeaving();
    for (const order of orders) {
      if (order.isProactive && mustLeave) break;
      if (this.#busy.has(order.source)) continue;
      if (nowMs < (this.#notBeforeMs.get(order.id) ?? -Infinity)) continue;
      const target = this.#choose(order);
      if (target === null) {
        if (order.isProactive) this.#notBeforeMs.set(order.id, nowMs + AHEAD_RETRY_MS);
        continue;
      }
      this.#begin(order, target, nowMs);
      leaves.push({ job: order, target });
    }
    return leaves;
  }

  #begin(
    { id, source, isProactive: isAhead }: O,
    { endpoint, copyMs }: CopyTarget,
    nowMs: number,
  ): void {
    this.remove(id);
    const untilMs = nowMs + EXPIRY_FACTOR * copyMs + SWITCH_MS;
    this.#active.set(id, { source, target: endpoint, isAhead, untilMs });
    this.#findBusy();
  }

  #choose(order: O): CopyTarget | null {
    let best: CopyTarget | null = null;
    let bestCost = Infinity;
    for (const target of this.#targets(order, this.#isBusy)) {
      if (this.#busy.has(target.endpoint)) continue;
      const cost = target.peak + target.copyMs / COPY_SCALE_MS;
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    return best;
  }

  #isAnyLeaving(): boolean {
    return [...this.#active.values()].some((copy) => !copy.isAhead);
  }

  #findBusy(): void {
    const ends = [...this.#active.values()].flatMap(({ source, target }) => [source, target]);
    this.#busy = new Set(ends);
  }

  #expire(nowMs: number): void {
    for (const [id, { untilMs }] of this.#active) if (untilMs <= nowMs) this.remove(id);
    for (const [id, { requestedAtMs }] of this.#orders) {
      if (nowMs - requestedAtMs > ORDER_TTL_MS) this.remove(id);
    }
  }
}
