/**
 * Registers a gateway in the platform's store, so that other gateways find it when no seed is alive. A few registered
 * gateways are enough, as each knows all others.
 *
 * Load pattern: hundreds of gateways that start together, of which each would read and write the store.
 *
 * @module
 */
import { type Clock, type Rng, toWpError, type Undo } from "@wisteriapick/core";
import { formatAddress, type GatewayAddress } from "@wisteriapick/wire";
import type { GatewayRecord } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { StateStore } from "../state/state_store.ts";

/** Options of {@link Registration}. */
export interface RegistrationOptions {
  readonly record: GatewayRecord;
  readonly store: StateStore;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: DecisionLog;
  /** Called with all registered gateways after each read. */
  readonly onFound: (gateways: readonly GatewayAddress[]) => void;
  /** Whether this gateway is one of those that others should find in the store. */
  readonly isEntryPoint: () => boolean;
  /** Whether a gateway is linked, which shows that its registration is not stale. */
  readonly isLinked: (name: string) => boolean;
}

/** Shortest interval at which registrations are read. Most gateways are known from links much sooner. */
const READ_INTERVAL_MS = 60_000;
/** Shortest delay of the first read: links to seeds come first, and gateways that start together spread out. */
const FIRST_READ_DELAY_MS = 1_000;
/**
 * Delay of the read after this gateway has registered: another one that did so at the same moment was not in the first,
 * which may also have been some seconds old.
 */
const READ_AFTER_WRITE_DELAY_MS = 3_000;
/** Shortest delay of the read after the store was restored, when those that have lost their registrations write them. */
const READ_AFTER_RESTORE_DELAY_MS = 1_000;
/** Time without a link after which a gateway's registration is removed as stale. */
const STALE_AFTER_MS = 600_000;

/** Keeps this gateway's registration current, reads those of others and removes stale ones. */
export class Registration {
  readonly #options: RegistrationOptions;
  readonly #missingSinceMs = new Map<string, number>();
  #stopTimer: Undo = () => {};
  #stopped = false;
  #isRunning = false;
  /** Whether the next read must not be some seconds old. */
  #mustReadCurrent = false;
  /** Write of this gateway's registration that is in progress, or the last one. */
  #write: Promise<void> = Promise.resolve();

  constructor(options: RegistrationOptions) {
    this.#options = options;
  }

  start(): void {
    this.#schedule(FIRST_READ_DELAY_MS);
  }

  /** Reads the registrations soon, and writes this gateway's again if the restored store has lost it. */
  onStoreRestored(): void {
    if (this.#stopped || !this.#options.isEntryPoint()) return;
    this.#mustReadCurrent = true;
    // A read in progress is followed by the next one.
    if (this.#isRunning) return;
    this.#stopTimer();
    this.#schedule(READ_AFTER_RESTORE_DELAY_MS);
  }

  /** Stops and removes this gateway's registration. Failures are logged, not raised. */
  async remove(): Promise<void> {
    this.stop();
    const { store, record, log } = this.#options;
    // The store may handle two calls in any order. The caller of the write logs its failure.
    await this.#write.catch(() => {});
    try {
      await store.removeGateway(record.name);
    } catch (e) {
      // Other gateways remove the registration once it is stale.
      log.state("registration_left", { err: toWpError(e) });
    }
  }

  stop(): void {
    this.#stopped = true;
    this.#stopTimer();
  }

  #schedule(ms: number): void {
    const { clock, rng } = this.#options;
    this.#stopTimer = clock.setTimer(ms * (1 + rng.next()), () => void this.#run());
  }

  async #run(): Promise<void> {
    let hasWritten = false;
    this.#isRunning = true;
    const isAfterRestore = this.#mustReadCurrent;
    try {
      hasWritten = await this.#refresh();
    } catch (e) {
      this.#options.log.state("registration_failed", { err: toWpError(e) });
      // A restored store may refuse calls at first.
      this.#mustReadCurrent ||= isAfterRestore;
    }
    this.#isRunning = false;
    if (!this.#stopped) this.#schedule(this.#nextDelayMs(hasWritten));
  }

  #nextDelayMs(hasWritten: boolean): number {
    if (this.#mustReadCurrent) return READ_AFTER_RESTORE_DELAY_MS;
    return hasWritten ? READ_AFTER_WRITE_DELAY_MS : READ_INTERVAL_MS;
  }

  /** Reads the registrations and writes this gateway's where it is missing. Returns whether it was written. */
  async #refresh(): Promise<boolean> {
    const { store, record, onFound, isEntryPoint } = this.#options;
    const isStaleAllowed = !this.#mustReadCurrent;
    // The store may be restored while it is read, which sets this again.
    this.#mustReadCurrent = false;
    const { items } = await store.list("gateways", { isStaleAllowed });
    const records = [...items.values()].map((item) => item.value);
    onFound(records.map(({ name, address, dataCentre }) => {
      return { name, ...address, dataCentre, processorShare: null, linkMbps: null };
    }));
    const own = records.find((r) => r.name === record.name);
    const isCurrent = own !== undefined &&
      formatAddress(own.address) === formatAddress(record.address);
    const mustWrite = !isCurrent && isEntryPoint() && !this.#stopped;
    if (mustWrite) await (this.#write = store.writeGateway(record));
    for (const { name } of records) {
      try {
        await this.#removeStale(name);
      } catch (e) {
        // One that cannot be removed must not keep the others from being removed.
        this.#options.log.state("registration_failed", { err: toWpError(e) });
      }
    }
    return mustWrite;
  }

  async #removeStale(name: string): Promise<void> {
    const { store, record, clock, isLinked } = this.#options;
    if (name === record.name || isLinked(name)) return void this.#missingSinceMs.delete(name);
    const now = clock.now();
    const missingSinceMs = this.#missingSinceMs.get(name) ?? now;
    this.#missingSinceMs.set(name, missingSinceMs);
    if (now - missingSinceMs < STALE_AFTER_MS) return;
    await store.removeGateway(name);
    this.#missingSinceMs.delete(name);
  }
}
