/**
 * Makes plans and confirms them.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import {
  type Clock,
  type PlanId,
  planId,
  raise,
  type Revision,
  type Rng,
  WpFailure,
} from "@wisteriapick/core";
import type { ObjectStore } from "@wisteriapick/clients";
import { decode, encode } from "cbor-x";
import { applyChanges } from "./changes.ts";
import type { ConfigLog } from "./config_log.ts";
import type { EndpointStatus } from "./fleet_report.ts";
import { changesOf, groundOf, requireGround } from "./plan_changes.ts";
import { previewOf } from "./plan_preview.ts";
import { type Intent, type Plan, PlanSchema } from "./plan_types.ts";
import { withRetry } from "./store_calls.ts";

const PLAN_PREFIX = "plans/";

/** Options of {@link PlanManager}. */
export interface PlanManagerOptions {
  readonly store: ObjectStore;
  readonly log: ConfigLog;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly endpoints: () => readonly EndpointStatus[];
  readonly makeId?: () => string;
}

/** What a confirmation did. */
export interface Confirmed {
  readonly plan: PlanId;
  readonly revision: Revision;
}

/**
 * See the module comment.
 *
 * @example
 * ```ts
 * const plan = await book.plan({ type: "out", dataCentre }, "ama");
 * await book.confirm(plan.id, "ama");
 * ```
 */
export class PlanManager {
  readonly #o: PlanManagerOptions;

  constructor(options: PlanManagerOptions) {
    this.#o = options;
  }

  /** Makes and stores a plan. Changes nothing else. Raises `invalid_change` when it cannot be done. */
  async plan(intent: Intent, who: string): Promise<Plan> {
    const { log, clock, endpoints, makeId = randomId } = this.#o;
    await log.catchUp();
    const view = log.state.current();
    const id = planId(makeId());
    const createdAtMs = clock.wall();
    if (intent.type === "move" && intent.byMs <= createdAtMs) {
      raise({ type: "invalid_change", message: "the time by which the move must end has passed" });
    }
    const changes = changesOf(id, intent, view, createdAtMs);
    applyChanges(view, changes);
    const plan: Plan = {
      id,
      who,
      createdAtMs,
      baseRevision: view.revision,
      intent,
      ...previewOf(intent, changes, view, endpoints(), createdAtMs),
      ground: groundOf(intent, view),
    };
    await this.#save(plan);
    return plan;
  }

  /** Reads a plan. */
  async read(id: PlanId): Promise<Plan> {
    const obj = await this.#retry(() => this.#o.store.get(PLAN_PREFIX + id));
    if (obj === null) raise({ type: "not_found", message: `there is no plan ${id}` });
    return PlanSchema.parse(decode(obj.value));
  }

  /**
   * Carries a plan out. Raises `plan_stale` with what changed when its ground has changed. Confirming twice, or
   * by two operators at once, gives the same revision.
   */
  async confirm(id: PlanId, who: string): Promise<Confirmed> {
    const plan = await this.read(id);
    const { log, clock } = this.#o;
    const why = describeIntent(plan.intent);
    const revision = await log.append({
      id: `plan/${id}`,
      note: { who, atMs: clock.wall(), why },
      build: (state) => {
        const view = state.current();
        requireGround(plan.ground, groundOf(plan.intent, view));
        return changesOf(id, plan.intent, view, clock.wall());
      },
    });
    return { plan: id, revision };
  }

  async #save(plan: Plan): Promise<void> {
    const key = PLAN_PREFIX + plan.id;
    try {
      await this.#retry(() => this.#o.store.put(key, encode(plan), { ifVersion: 0 }));
    } catch (e) {
      // The id is random: an existing object is this plan, written by a try whose answer was lost.
      if (!(e instanceof WpFailure) || e.err.type !== "store_conflict") throw e;
    }
  }

  #retry<T>(fn: () => Promise<T>): Promise<T> {
    return withRetry(fn, this.#o.clock, this.#o.rng);
  }
}

function randomId(): string {
  return `p-${randomBytes(6).toString("hex")}`;
}

/** One line about an intent. */
export function describeIntent(intent: Intent): string {
  switch (intent.type) {
    case "out":
      return `take data centre ${intent.dataCentre} out`;
    case "in":
      return `take data centre ${intent.dataCentre} in`;
    case "move":
      return `move ${intent.service} from ${intent.from} to ${intent.to}`;
    case "apply":
      return "apply a file";
    case "take_back":
      return `take move ${intent.move} back`;
  }
}
