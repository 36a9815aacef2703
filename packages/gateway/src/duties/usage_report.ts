/**
 * The duty of reporting usage: one gateway at a time writes the counts of a window to the store, and then sends them.
 *
 * @module
 */
import { type Clock, toWpError, type Undo } from "@wisteriapick/core";
import type {
  FixedWindow,
  UsageCompleteness,
  UsageLedger,
  UsageRecord,
  UsageWindows,
} from "@wisteriapick/policy";
import type { UsageReported } from "@wisteriapick/wire";
import { z } from "zod";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import type { PeerGroup } from "../peers/peer_group.ts";
import type { CallRight, CloudCalls } from "./cloud.ts";
import type { DutyObject } from "./duty_object.ts";
import { decodeCounts, encodeWindow, type UsageExchange } from "./usage_exchange.ts";

/** Options of {@link UsageReportDuty}. */
export interface UsageReportDutyOptions {
  readonly object: DutyObject;
  readonly exchange: UsageExchange;
  readonly ledger: UsageLedger;
  readonly windows: UsageWindows;
  readonly cloud: CloudCalls;
  readonly network: PeerGroup;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Whether this gateway is cut off from most of the others, so that they know more. */
  readonly isCutOff: () => boolean;
  /** Additional time for which each candidate waits for the one before it, in milliseconds. */
  readonly patienceMs: number;
}

/** Pause after a call to the platform or the store that failed, doubled each time up to the longest one. */
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 1_000;
/** Time after a failed call for which other candidates may do better: two turns of a candidate, of about 5 s each. */
const FAILED_CALL_TTL_MS = 10_000;

/** Reports usage while this gateway holds the duty, and takes it over when its holder is silent. */
export class UsageReportDuty {
  readonly #options: UsageReportDutyOptions;
  readonly #undos: Undo[];
  #isBusy = false;
  #retryAtMs = -Infinity;
  #retryMs = MIN_RETRY_MS;
  /** When the last call to the platform failed; -Infinity if it did not. */
  #callFailedAtMs = -Infinity;
  /** Monotonic time at which another gateway was last heard to have written the object. */
  #heardWriteAtMs = -Infinity;
  /** The report that was refused last, until it is known whether a newer holder or the content is the reason. */
  #refused: { readonly window: number; readonly token: number } | null = null;
  /** Where the object was when gateways were asked for what was lost, as text. */
  #askedAt = "";
  /** Gateways that may have written what the store has lost, and have not told yet. */
  readonly #unanswered = new Set<string>();

  constructor(options: UsageReportDutyOptions) {
    this.#options = options;
    const { network, windows } = options;
    this.#undos = [
      network.registerHandler("usage_reported", (peer, { type, fixed, accepted }) => {
        // Nobody can have written a window of a time to come.
        const newest = windows.windowAt(options.exchange.trueMs());
        for (const { window, counts } of fixed) {
          if (window <= newest) windows.recordFixed({ window, counts: decodeCounts(counts) });
        }
        for (const window of accepted) if (window <= newest) windows.recordAccepted(window);
        if (type === "news" && fixed.length > 0) this.#heardWriteAtMs = options.clock.now();
        if (type === "question") this.#tell(peer, "answer", windows.fixed());
        if (type === "answer" && this.#unanswered.delete(peer)) this.#concludeAnswers();
      }),
    ];
  }

  /** Disconnects from the network. */
  close(): void {
    for (const undo of this.#undos) undo();
  }

  /** Does what is due, unless the last step is still under way. */
  async tick(): Promise<void> {
    const { clock, exchange, windows, ledger, log } = this.#options;
    const trueMs = exchange.trueMs();
    windows.prune(trueMs);
    ledger.forgetBefore(windows.oldestKept(trueMs));
    if (!exchange.isListener) windows.stopListening();
    if (this.#isBusy || clock.now() < this.#retryAtMs || !exchange.isCandidate) return;
    this.#isBusy = true;
    try {
      await this.#step(trueMs);
    } catch (e) {
      log.state("duty_failed", { duty: "usage_report", err: toWpError(e) });
      this.#delayRetry();
    } finally {
      this.#isBusy = false;
    }
  }

  async #step(trueMs: number): Promise<void> {
    const { object, windows, clock, exchange } = this.#options;
    const right = object.right();
    const [unsent] = windows.unsent(trueMs);
    if (right !== null && unsent !== undefined) return await this.#send(unsent, right);
    // A clock that nobody can correct may name windows that have not ended.
    if (exchange.hasClockStepped) return;
    const { claim } = object;
    const looks = windows.looks(trueMs);
    const nowMs = clock.now();
    const toMonotonic = (atMs: number) => nowMs - (trueMs - atMs);
    if (!claim.isHolder) {
      if (looks === null) return;
      // A candidate that sees each write at once can succeed a holder that writes each window and whose calls fail.
      const changedAtMs = Math.max(toMonotonic(looks.newestMs), this.#heardWriteAtMs);
      if (object.readAtMs < changedAtMs) return await this.#read(trueMs);
    }
    const dueAtMs = looks === null ? nowMs : toMonotonic(looks.oldestMs);
    const patienceMs = this.#options.patienceMs * this.#rank();
    const step = claim.next({ dueAtMs, patienceMs, monotonicMs: nowMs });
    if (step.type === "wait") return;
    if (step.type === "read") return await this.#read(trueMs);
    const record = windows.recordToWrite(trueMs, {
      totals: (window) => this.#options.ledger.totals(window),
      completeness: (window) => this.#completeness(window),
      shouldYield: this.#haveCallsFailed && exchange.candidates.length > 1,
    }) ?? (this.#mayTakeOver(trueMs) ? windows.recordToTakeOver(trueMs) : null);
    if (record === null) return;
    if (!await object.write(step, encodeRecord(record))) return this.#delayRetry();
    windows.recordStored(record);
    this.#notify(record.windows);
  }

  /**
   * Whether this gateway may take over what another one has written. One that is cut off from most of the others does not
   * hear of their calls, and would take the duty from a holder that knows more. The window that has just ended tells
   * nothing yet, as the counts of it are still on their way.
   */
  #mayTakeOver(trueMs: number): boolean {
    const { object, windows } = this.#options;
    return !object.claim.isHolder &&
      !this.#completeness(windows.windowAt(trueMs) - 2).isMinority;
  }

  /** The ledger forgets gateways that are not heard for a minute; those that may be serving are known for longer. */
  #completeness(window: number): UsageCompleteness {
    const { ledger, isCutOff } = this.#options;
    const { missing, isMinority } = ledger.completeness(window);
    return { missing, isMinority: isMinority || isCutOff() };
  }

  get #haveCallsFailed(): boolean {
    return this.#options.clock.now() - this.#callFailedAtMs < FAILED_CALL_TTL_MS;
  }

  /** Position among the candidates that might succeed the holder. One whose calls have failed comes after the others. */
  #rank(): number {
    const { object, exchange, network } = this.#options;
    const holder = object.claim.holder?.gateway;
    const others = exchange.candidates.filter((name) => name === network.name || name !== holder);
    const rank = Math.max(0, others.indexOf(network.name));
    return this.#haveCallsFailed ? rank + others.length : rank;
  }

  async #read(trueMs: number): Promise<void> {
    const { object, windows, log } = this.#options;
    const read = await object.read();
    const record = decodeRecord(read.content);
    const isUnreadable = record === null && read.content !== null;
    if (isUnreadable) log.state("duty_object_unreadable", { object: "usage_report" });
    this.#settleRefused();
    if (!read.mayHaveLost && !isUnreadable) {
      if (record !== null) windows.recordStored(record);
      return;
    }
    const at = JSON.stringify(object.claim.position);
    // A late write of an earlier era may also come after the first one of the new era.
    if (this.#askedAt === at) return;
    this.#askedAt = at;
    windows.recordLoss(trueMs, record);
    this.#askForLost();
  }

  /**
   * Gives up a report that was refused although no other gateway has taken over since. Otherwise the newer holder sends it.
   */
  #settleRefused(): void {
    const { object: { claim }, windows } = this.#options;
    const refused = this.#refused;
    this.#refused = null;
    if (refused === null || !claim.isHolder || claim.holder?.token !== refused.token) return;
    windows.recordAccepted(refused.window);
    this.#notify([]);
  }

  /**
   * Asks all gateways that are linked or were heard in the last minute what they have written, while the lease is waited
   * for. Windows that one of them may have written that does not answer are not reported.
   */
  #askForLost(): void {
    const { object, ledger, network, exchange, log } = this.#options;
    this.#unanswered.clear();
    const linked = exchange.linked();
    for (const gateway of new Set([...linked, ...ledger.gateways()])) {
      if (gateway !== network.name) this.#unanswered.add(gateway);
    }
    for (const gateway of linked) this.#tell(gateway, "question", []);
    this.#concludeAnswers();
    log.state("duty_object_restored", {
      duty: "usage_report",
      ...object.claim.position,
      asked: this.#unanswered.size,
    });
  }

  /** A gateway that reaches few of the others has not asked all that may have written. */
  #concludeAnswers(): void {
    const { windows, isCutOff } = this.#options;
    if (this.#unanswered.size === 0 && !isCutOff()) windows.recordAllKnown();
  }

  async #send(unsent: FixedWindow, right: CallRight): Promise<void> {
    const { cloud, windows, exchange, log, metrics, object, clock } = this.#options;
    const { window, counts } = unsent;
    const sentAtMs = clock.now();
    const { outcome, detail } = await cloud.reportUsage({ window, counts }, right);
    const lateMs = windows.lateBy(window, exchange.trueMs());
    metrics.countUsageReport(outcome === "accepted" && lateMs > 0 ? "late" : outcome);
    log.state("usage_report_sent", {
      window,
      token: right.token,
      outcome,
      detail,
      accounts: counts.size,
      requests: [...counts.values()].reduce((sum, count) => sum + count, 0),
      ms: Math.round(clock.now() - sentAtMs),
      lateMs: Math.round(lateMs),
    });
    if (outcome === "limited" || outcome === "failed") {
      this.#callFailedAtMs = clock.now();
      return this.#delayRetry();
    }
    this.#callFailedAtMs = -Infinity;
    this.#retryMs = MIN_RETRY_MS;
    if (outcome === "refused") {
      // Another gateway may have taken over.
      object.claim.recordUnknown();
      this.#refused = { window, token: right.token };
      return;
    }
    windows.recordAccepted(window);
    this.#notify([]);
  }

  /** Tells the gateways that may succeed this one, which then have nothing to take over and nothing to read. */
  #notify(fixed: readonly FixedWindow[]): void {
    const { network, exchange } = this.#options;
    for (const listener of exchange.listeners) {
      if (listener !== network.name) this.#tell(listener, "news", fixed);
    }
  }

  #tell(peer: string, type: UsageReported["type"], fixed: readonly FixedWindow[]): void {
    const { network, windows } = this.#options;
    network.send(peer, {
      kind: "usage_reported",
      type,
      fixed: fixed.map(({ window, counts }) => encodeWindow(window, counts)),
      accepted: windows.accepted(),
    });
  }

  #delayRetry(): void {
    this.#retryAtMs = this.#options.clock.now() + this.#retryMs;
    this.#retryMs = Math.min(MAX_RETRY_MS, 2 * this.#retryMs);
  }
}

const wholeNumber = z.number().int().nonnegative();
const recordSchema = z.object({
  through: wholeNumber,
  windows: z.array(z.object({
    window: wholeNumber,
    counts: z.record(z.string(), wholeNumber),
  })),
});

function encodeRecord({ through, windows }: UsageRecord): unknown {
  return {
    through,
    windows: windows.map(({ window, counts }) => ({
      window,
      counts: Object.fromEntries(counts),
    })),
  };
}

/** Decodes the content of the object; `null` if there is none, or none that can be read. */
function decodeRecord(content: unknown): UsageRecord | null {
  const result = recordSchema.safeParse(content);
  if (!result.success) return null;
  const { through, windows } = result.data;
  return {
    through,
    windows: windows.map(({ window, counts }) => ({
      window,
      counts: new Map(Object.entries(counts)),
    })),
  };
}
