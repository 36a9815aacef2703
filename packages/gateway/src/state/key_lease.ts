/**
 * The lease on the client accounts' keys: a gateway that cannot learn which keys were taken away stops to use those that
 * it knows.
 *
 * Load pattern: a gateway that is cut off from the store and from other gateways, or that was paused, while its callers
 * keep their connections to it and keys are taken away.
 *
 * @module
 */
import type { SuspendAwareClock, Undo } from "@wisteriapick/core";
import { KnowledgeLease, type LeaseState } from "@wisteriapick/policy";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import type { Fleet } from "./fleet.ts";

/** How long a key may be used after it was taken away. */
export interface KeyRevocation {
  /** If false, a gateway without the store goes on with the keys that it knows. */
  readonly isEnforced: boolean;
  readonly revokeMs: number;
}

/** Options of {@link KeyLease}. */
export interface KeyLeaseOptions {
  readonly elapsed: SuspendAwareClock;
  readonly fleet: Pick<Fleet, "isConfigCurrent" | "registerConfigListener">;
  readonly log: DecisionLog;
  readonly metrics: Pick<GatewayMetrics, "setConfigAge">;
  readonly revocation: KeyRevocation;
}

/** Where a confirmation came from: the store, or the name of the gateway that passed it on. */
export type ConfirmationSource = "store" | string;

/** Duration from which on the usual intervals of reads confirm the configuration often enough, in milliseconds. */
const USUAL_REVOKE_MS = 5_000;
/** Time before the lease's end at which that is logged, in milliseconds. */
const END_WARNING_MS = 1_000;

/** Whether requests with a key may be taken and sent, by the age of the configuration in force. */
export class KeyLease {
  readonly #options: KeyLeaseOptions;
  readonly #lease: KnowledgeLease;
  readonly #undo: Undo;
  #isEnforced: boolean;
  #revokeMs: number;
  #source: ConfirmationSource | null = null;
  /** A confirmation of a configuration of which the routes are still being indexed. */
  #pending: { readonly atMs: number; readonly source: ConfirmationSource } | null = null;
  #lastState: LeaseState = "ended";
  #isEndNear = false;

  constructor(options: KeyLeaseOptions) {
    this.#options = options;
    this.#isEnforced = options.revocation.isEnforced;
    this.#revokeMs = options.revocation.revokeMs;
    this.#lease = new KnowledgeLease({ durationMs: options.revocation.revokeMs });
    this.#undo = options.fleet.registerConfigListener(() => this.#applyPending());
  }

  configure({ isEnforced, revokeMs }: KeyRevocation): void {
    this.#isEnforced = isEnforced;
    this.#revokeMs = revokeMs;
    this.#lease.configure({ durationMs: revokeMs });
  }

  /** Whether keys end at gateways that cannot learn that they were taken away. */
  get isEnforced(): boolean {
    return this.#isEnforced;
  }

  /** Factor for the intervals at which the configuration is confirmed, so that a short lease is renewed in time. */
  get intervalFactor(): number {
    return this.#isEnforced ? Math.min(1, this.#revokeMs / USUAL_REVOKE_MS) : 1;
  }

  /** State of the lease now. It is read anew for each decision, as the process may have been paused since the last. */
  get state(): LeaseState {
    return this.#isEnforced ? this.#lease.state(this.#options.elapsed.now()) : "held";
  }

  /** Whether a confirmation is overdue. */
  get needsRenewal(): boolean {
    return this.#isEnforced && this.#lease.needsRenewal(this.#options.elapsed.now());
  }

  /** Age of the configuration in force, in milliseconds; `Infinity` before the first confirmation. */
  get ageMs(): number {
    return this.#lease.ageMs(this.#options.elapsed.now());
  }

  /** When the configuration was last known to be the newest one, by the clock that includes suspensions. */
  get confirmedAtMs(): number {
    return Math.max(this.#lease.confirmedAtMs, this.#pending?.atMs ?? -Infinity);
  }

  /** Records that this gateway's view of the configuration was the store's at `atMs`. */
  confirm(atMs: number, source: ConfirmationSource): void {
    if (atMs <= this.confirmedAtMs) return;
    this.#pending = { atMs, source };
    if (this.#options.fleet.isConfigCurrent) this.#applyPending();
  }

  /** Logs changes of the lease. Called each tick. */
  tick(): void {
    if (!this.#isEnforced) return;
    const { elapsed, metrics } = this.#options;
    const now = elapsed.now();
    const ageMs = this.#lease.ageMs(now);
    if (Number.isFinite(ageMs)) metrics.setConfigAge(ageMs);
    const isEndNear = this.#lease.remainingMs(now) <= END_WARNING_MS;
    const state = this.#lease.state(now);
    if (isEndNear && !this.#isEndNear && state !== "ended") this.#log("key_lease_near_end");
    this.#isEndNear = isEndNear;
    if (state === this.#lastState) return;
    this.#lastState = state;
    this.#log(`key_lease_${state}`);
  }

  close(): void {
    this.#undo();
  }

  #applyPending(): void {
    if (this.#pending === null) return;
    const { atMs, source } = this.#pending;
    this.#pending = null;
    // Requests may have been refused since the last tick, so the state that this confirmation ends is logged first.
    this.tick();
    if (!this.#lease.confirm(atMs, this.#options.elapsed.now())) return;
    this.#source = source;
    // The return of the lease is logged with the confirmation that brought it.
    if (this.#lastState !== "held") this.tick();
  }

  #log(event: string): void {
    const { log, elapsed } = this.#options;
    const now = elapsed.now();
    log.state(event, {
      ageMs: Math.round(this.#lease.ageMs(now)),
      remainingMs: Math.round(this.#lease.remainingMs(now)),
      source: this.#source,
    });
  }
}
