/**
 * One gateway's access to the stored object of a duty: reads it, and writes it under the condition that nobody else has.
 *
 * @module
 */
import { type Clock, type SuspendAwareClock, toWpError } from "@wisteriapick/core";
import { type ClaimStep, type ClaimTime, DutyClaim, eraOfToken } from "@wisteriapick/policy";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import type { DutyRecord, StateStore, StoredDuty } from "../state/state_store.ts";
import type { CallRight } from "./cloud.ts";

/** Options of {@link DutyObject}. */
export interface DutyObjectOptions {
  /** Name of the duty, for logs and metrics. */
  readonly duty: string;
  /** Name of the object. */
  readonly name: string;
  readonly gateway: string;
  /** Distinguishes the processes that run under one name. */
  readonly instance: string;
  readonly leaseMs: number;
  readonly store: StateStore;
  readonly clock: Clock;
  readonly elapsed: SuspendAwareClock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

/** What a read has shown. */
export interface DutyRead {
  /** `null` if there is no object. */
  readonly content: unknown;
  /** Whether the store may have lost later writes of the object, as it was restored since this one. */
  readonly mayHaveLost: boolean;
}

interface PendingWrite {
  readonly attempt: number;
  readonly token: number;
  readonly begunAt: ClaimTime;
}

/** The object of one duty, and this gateway's claim to it. */
export class DutyObject {
  readonly claim: DutyClaim;
  readonly #options: DutyObjectOptions;
  #attempts = 0;
  /** A write whose response was lost. */
  #pending: PendingWrite | null = null;
  #readAtMs = -Infinity;
  #isHeld = false;

  constructor(options: DutyObjectOptions) {
    this.#options = options;
    this.claim = new DutyClaim(options);
  }

  /** Monotonic time at which the object was read last. */
  get readAtMs(): number {
    return this.#readAtMs;
  }

  /** The right to make calls; `null` if this gateway has none. */
  right(): CallRight | null {
    const { claim } = this;
    const { elapsed } = this.#options;
    if (claim.callsEndInMs(elapsed.now()) <= 0) return null;
    const { token } = claim.holder!;
    return {
      token,
      endsInMs: () => claim.holder?.token === token ? claim.callsEndInMs(elapsed.now()) : 0,
    };
  }

  /** Reads the object. */
  async read(): Promise<DutyRead> {
    const { store, name, clock, instance } = this.#options;
    const { position, record } = await store.readDuty(name);
    this.#readAtMs = clock.now();
    const pending = this.#pending;
    this.#pending = null;
    if (
      pending !== null && record?.holder.instance === instance &&
      record.attempt === pending.attempt && eraOfToken(pending.token) === position.era
    ) {
      this.claim.recordWritten(position, pending.token, pending.begunAt);
    } else {
      this.claim.recordRead(position, record?.holder ?? null, clock.now());
    }
    this.#logHolder();
    return { content: record?.content ?? null, mayHaveLost: this.#mayHaveLost(position, record) };
  }

  #mayHaveLost(position: StoredDuty["position"], record: DutyRecord | null): boolean {
    return record === null || eraOfToken(record.holder.token) < position.era;
  }

  /**
   * Writes the object, as its claim says. Returns whether it was written; otherwise the object must be read before
   * anything else.
   */
  async write(
    { position, token }: Extract<ClaimStep, { type: "write" }>,
    content: unknown,
  ): Promise<boolean> {
    const { store, name, gateway, instance, clock, elapsed, log, duty } = this.#options;
    const begunAt = { monotonicMs: clock.now(), elapsedMs: elapsed.now() };
    const attempt = ++this.#attempts;
    const record = { holder: { gateway, instance, token }, attempt, content };
    try {
      const result = await store.writeDuty(name, record, position);
      if (result.type === "written") {
        this.claim.recordWritten(result.position, token, begunAt);
      } else {
        log.state("duty_write_refused", { duty, object: name, token, why: result.type });
        this.claim.recordUnknown();
      }
      return result.type === "written";
    } catch (e) {
      this.#pending = { attempt, token, begunAt };
      this.claim.recordUnknown();
      log.state("duty_write_failed", { duty, object: name, token, err: toWpError(e) });
      return false;
    } finally {
      this.#logHolder();
    }
  }

  #logHolder(): void {
    const { log, duty, name, metrics, clock } = this.#options;
    const { isHolder, holder } = this.claim;
    if (holder === null || isHolder === this.#isHeld) return;
    this.#isHeld = isHolder;
    metrics.setDutyHeld(duty, name, isHolder ? clock.wall() : null);
    log.state(isHolder ? "duty_taken" : "duty_lost", {
      duty,
      object: name,
      token: holder.token,
      holder: holder.gateway,
    });
  }
}
