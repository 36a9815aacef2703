/**
 * Creates, stores and confirms plans.
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
import { changesOf, preconditionsOf, requirePreconditions } from "./plan_changes.ts";
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

/** Result of a confirmation. `revision` is that of the log entry with the plan's changes. */
export interface PlanConfirmation {
  readonly plan: PlanId;
  readonly revision: Revision;
}

/**
 * Creates plans from intents, stores them, and applies them to the configuration when they are confirmed.
 *
 * @example
 * ```ts
 * const plan = await plans.plan({ type: "out", dataCentre }, "ama");
 * await plans.confirm(plan.id, "ama");
 * ```
 */
export class PlanManager {
  readonly #o: PlanManagerOptions;

  constructor(options: PlanManagerOptions) {
    this.#o = options;
  }

  /** Creates and stores a plan, and changes nothing else. Raises `invalid_change` when it cannot be carried out. */
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
      ground: preconditionsOf(intent, view),
    };
    await this.#save(plan);
    return plan;
  }

  /** Reads a stored plan. Raises `not_found` when there is none. */
  async read(id: PlanId): Promise<Plan> {
    const obj = await this.#retry(() => this.#o.store.get(PLAN_PREFIX + id));
    if (obj === null) raise({ type: "not_found", message: `there is no plan ${id}` });
    return PlanSchema.parse(decode(obj.value));
  }

  /**
   * Carries out a plan. Raises `plan_stale`, with the differences, when its preconditions have changed. Confirming
   * twice, or by two operators at once, returns the same revision.
   */
  async confirm(id: PlanId, who: string): Promise<PlanConfirmation> {
    const plan = await this.read(id);
    const { log, clock } = this.#o;
    const reason = describeIntent(plan.intent);
    const revision = await log.append({
      id: `plan/${id}`,
      note: { who, atMs: clock.wall(), why: reason },
      build: (state) => {
        const view = state.current();
        requirePreconditions(plan.ground, preconditionsOf(plan.intent, view));
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
      // The id is random, so that an existing object is this plan, written by an attempt whose response was lost.
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

/** Describes an intent in one line. */
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
