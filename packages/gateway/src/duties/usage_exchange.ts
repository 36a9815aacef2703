/**
 * Counts the requests that begin to run at this gateway, and sends the counts to the gateways that may report them.
 *
 * @module
 */
import type { AccountId, Clock, Undo } from "@wisteriapick/core";
import { TrueTime, type UsageLedger, type UsageWindows } from "@wisteriapick/policy";
import type { UsageCountsReport, UsageWindow } from "@wisteriapick/wire";
import type { LinkedPeer, PeerGroup } from "../peers/peer_group.ts";

/** Options of {@link UsageExchange}. */
export interface UsageExchangeOptions {
  readonly network: PeerGroup;
  readonly clock: Clock;
  /** Distinguishes the processes that run under one name. */
  readonly incarnation: string;
  readonly ledger: UsageLedger;
  readonly windows: UsageWindows;
}

/** What one listener was sent. */
interface SentCounts {
  /** Requests that were counted in each window when it was sent. */
  readonly requests: Map<number, number>;
  finished: number;
}

/** Protocol version from which on gateways understand these messages. */
const SINCE_VERSION = 6;
const DUTY = "usage_report";
/** Gateways that may report usage; enough that two of them may be lost. */
const CANDIDATES = 3;
/**
 * Gateways that are sent the counts and what was reported. Those after the candidates become candidates when others end,
 * whose last counts are then known to nobody else.
 */
const LISTENERS = 5;
/** Windows by which the time of another gateway may be ahead of this one's. */
const CLOCK_TOLERANCE_WINDOWS = 1;
/** Request ids that are remembered, so that a repeated request counts once; several seconds at the highest rates. */
const MAX_KNOWN_REQUESTS = 8_192;

/** The counts of this gateway, and their exchange with the gateways that may report them. */
export class UsageExchange {
  readonly #options: UsageExchangeOptions;
  readonly #time = new TrueTime();
  readonly #counts = new Map<number, Map<AccountId, number>>();
  readonly #requests = new Set<string>();
  readonly #sent = new Map<string, SentCounts>();
  readonly #undos: Undo[];

  constructor(options: UsageExchangeOptions) {
    this.#options = options;
    const { network } = options;
    this.#undos = [
      network.registerHandler("usage_counts", (peer, msg) => this.#onCounts(peer, msg)),
      network.registerHandler("true_time", (peer, { trueMs }) => {
        const nowMs = options.clock.now();
        if (!this.isListener) this.#time.record(peer, { wallMs: trueMs, nowMs });
      }),
      // A new link may lead to another process, and what was under way on the old one may be lost.
      network.registerUp((peer) => this.#sent.delete(peer)),
      network.registerDown((peer) => this.#time.forget(peer)),
    ];
  }

  /** Disconnects from the network. */
  close(): void {
    for (const undo of this.#undos) undo();
  }

  /** The true time, as far as the clocks of several gateways show it, in Unix milliseconds. */
  trueMs(): number {
    const { clock } = this.#options;
    return this.#time.at({ nowMs: clock.now(), wallMs: clock.wall() });
  }

  /** Whether this host's clock has stepped, and no other clock is known that could correct it. */
  get hasClockStepped(): boolean {
    return this.#time.hasStepped;
  }

  /** The gateways that may report usage, in the order in which they are to do it. */
  get candidates(): readonly string[] {
    return this.listeners.slice(0, CANDIDATES);
  }

  /** The gateways that are sent all counts, the candidates first. */
  get listeners(): readonly string[] {
    return this.#options.network.orderOf(DUTY, understands).slice(0, LISTENERS);
  }

  /** Gateways that can be sent the messages of this duty now. */
  linked(): string[] {
    return this.#options.network.linked().filter(understands).map(({ name }) => name);
  }

  get isCandidate(): boolean {
    return this.candidates.includes(this.#options.network.name);
  }

  get isListener(): boolean {
    return this.listeners.includes(this.#options.network.name);
  }

  /** Counts a request that began to run; one that is counted already does not count again. */
  recordBegan(account: AccountId | null, requestId: string): void {
    if (account === null || this.#requests.has(requestId)) return;
    this.#requests.add(requestId);
    if (this.#requests.size > MAX_KNOWN_REQUESTS) {
      this.#requests.delete(this.#requests.values().next().value!);
    }
    const window = this.#options.windows.windowAt(this.trueMs());
    let counts = this.#counts.get(window);
    if (counts === undefined) this.#counts.set(window, counts = new Map());
    counts.set(account, (counts.get(account) ?? 0) + 1);
  }

  /** Sends each listener what it does not have. */
  publish(): void {
    const { network, ledger, windows, clock } = this.#options;
    const trueMs = this.trueMs();
    const oldest = windows.oldestDue(trueMs);
    const newest = windows.windowAt(trueMs);
    for (const window of this.#counts.keys()) {
      // What was counted in a time to come was counted while the estimate of the time was ahead.
      if (window < oldest || window > newest) this.#counts.delete(window);
    }
    ledger.forgetAfter(newest + CLOCK_TOLERANCE_WINDOWS);
    const finished = newest - 1;
    const { listeners } = this;
    for (const peer of this.#sent.keys()) {
      if (!listeners.includes(peer)) this.#sent.delete(peer);
    }
    for (const listener of listeners) {
      if (listener === network.name) {
        const source = { gateway: network.name, incarnation: this.#options.incarnation };
        for (const [window, counts] of this.#counts) ledger.merge(source, window, counts);
        ledger.recordFinished(network.name, finished);
        continue;
      }
      if (network.isCongested(listener)) continue;
      const sent = this.#sent.get(listener) ?? { requests: new Map(), finished: 0 };
      const changed = [...this.#counts].filter(([window, counts]) =>
        sumOf(counts) !== (sent.requests.get(window) ?? 0)
      );
      // A clock that was ahead may have named a later window.
      const hasFinished = finished !== sent.finished;
      if (changed.length === 0 && !hasFinished) continue;
      const isSent = network.send(listener, {
        kind: "usage_counts",
        incarnation: this.#options.incarnation,
        windows: changed.map(([window, counts]) => encodeWindow(window, counts)),
        finished,
        wallMs: clock.wall(),
        asksTime: hasFinished && !this.isListener,
      });
      if (!isSent) continue;
      sent.finished = finished;
      for (const window of sent.requests.keys()) {
        if (window < oldest || window > newest) sent.requests.delete(window);
      }
      for (const [window, counts] of changed) sent.requests.set(window, sumOf(counts));
      this.#sent.set(listener, sent);
    }
  }

  #onCounts(gateway: string, msg: UsageCountsReport): void {
    const { network, ledger, windows, clock } = this.#options;
    const { incarnation, finished, wallMs, asksTime } = msg;
    this.#time.record(gateway, { wallMs, nowMs: clock.now() });
    const trueMs = this.trueMs();
    const oldest = windows.oldestKept(trueMs);
    const newest = windows.windowAt(trueMs) + CLOCK_TOLERANCE_WINDOWS;
    for (const { window, counts } of msg.windows) {
      // A gateway whose clock is wrong must not fill the memory with windows of another time.
      if (window < oldest || window > newest) continue;
      ledger.merge({ gateway, incarnation }, window, decodeCounts(counts));
    }
    if (finished <= newest) ledger.recordFinished(gateway, finished);
    if (asksTime) network.send(gateway, { kind: "true_time", trueMs });
  }
}

function understands({ protocolVersion }: LinkedPeer): boolean {
  return protocolVersion >= SINCE_VERSION;
}

function sumOf(counts: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const count of counts.values()) sum += count;
  return sum;
}

/** A window as it is sent to another gateway. */
export function encodeWindow(window: number, counts: ReadonlyMap<string, number>): UsageWindow {
  return {
    window,
    counts: [...counts].map(([account, requests]) => ({ account: account as AccountId, requests })),
  };
}

/** The counts of a window that another gateway has sent. */
export function decodeCounts(counts: UsageWindow["counts"]): Map<string, number> {
  return new Map(counts.map(({ account, requests }) => [account, requests]));
}
