/**
 * Keeps a view up to date with the platform's store through outages, refusals, lost connections and dropped history.
 *
 * Load pattern: hundreds of gateways that return to a store after an outage. While the store is unreachable, only one
 * kind probes it, so that each gateway sends a store that refuses calls about two calls a second.
 *
 * @module
 */
import { type Clock, type Rng, toWpError, type Undo, type WpError } from "@wisteriapick/core";
import type { DecisionLog } from "../observe/decision_log.ts";
import { ErrorBoundary } from "../observe/error_boundary.ts";
import { ResponseDeadline } from "./response_deadline.ts";
import type { ReadOptions, StateStore } from "./state_store.ts";
import { isBefore } from "./store_position.ts";
import { FOLLOWED_KINDS, type FollowedKind, type Snapshot, type StoreView } from "./store_view.ts";

/** Options of {@link StoreFollower}. */
export interface StoreFollowerOptions {
  readonly store: StateStore;
  readonly view: StoreView;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: DecisionLog;
  /** Counts the bytes of each response. */
  readonly countBytes?: (kind: FollowedKind, bytes: number) => void;
  /** Factor for the time for which the store holds a watch of the configuration open; at most 1. */
  readonly configWatchFactor?: () => number;
  /** Pause between the first list and the first watch of a kind, in milliseconds, in which peers may take over. */
  readonly firstWatchDelayMs?: number;
  /** The clock of {@link ReadMoment}; the follower's own unless given. */
  readonly elapsedMs?: () => number;
  /** Whether a kind must be confirmed at once, so that a watch does not wait for changes. */
  readonly isUrgent?: (kind: FollowedKind) => boolean;
  /** Whether a kind is confirmed at once when reading is resumed, as its last confirmation is old by then. */
  readonly confirmsOnResume?: (kind: FollowedKind) => boolean;
  /** Contains errors of what is told of changes, which say nothing about the store; one that only logs by default. */
  readonly errors?: ErrorBoundary;
}

/** When the store was asked for what it has answered. What it answered may have been read at any time since then. */
export interface ReadMoment {
  readonly askedAtMs: number;
  /** Whether the answer contains all changes up to that moment, rather than that the store has dropped them. */
  readonly isComplete: boolean;
}

/** Called after a kind was read. */
export type ReadListener = (kind: FollowedKind, moment: ReadMoment) => void;

/**
 * A watch that returns confirms the view, for this gateway and for those that it reads for. A silent connection is only
 * noticed when a watch does not return. Kinds with a freshness bound of two seconds therefore have short watches.
 */
const WATCH_WAIT_MS: Readonly<Record<FollowedKind, number>> = {
  config: 900,
  endpoints: 900,
  evacuations: 2_200,
  moves: 2_200,
};
/** Time past the end of its wait after which a watch without a response counts as lost. */
const WATCH_SLACK_MS = 400;
/** The same while another response of the store occupies the link. */
const BUSY_WATCH_SLACK_MS = 1_600;
/** Time until the first byte of a list, in milliseconds. */
const LIST_FIRST_BYTE_MS = 1_500;
/** Time without a byte after which a response that has begun counts as lost. */
const RESPONSE_IDLE_MS = 800;
/** Shortest and longest pause between two probes of an unreachable store. */
const PROBE_MIN_MS = 150;
const PROBE_MAX_MS = 500;
/**
 * Shortest and longest pause before a kind is listed once more, when the store had dropped the history right after a
 * list. A restored store that keeps refusing must not be called as fast as it responds.
 */
const RELIST_MIN_MS = 100;
const RELIST_MAX_MS = 1_000;
/** Wait of a watch that only probes whether the store is reachable. */
const PROBE_WAIT_MS = 1;

/** Size of a response from which it is logged and counts as large. */
const LARGE_RESPONSE_BYTES = 65_536;
/** Pause after reading a large response, as a multiple of its transfer time, so that the link has time for other work. */
const READ_PAUSE_FACTOR = 2;
/** Number of large changes in a row from which reads are paused. */
const MIN_CHANGES_TO_PAUSE = 2;
/** Longest pause, so that a change is in force well within the shortest bound of two seconds. */
const MAX_READ_PAUSE_MS = 500;

type ReadCall = "list" | "watch";

type ReadResult = "changed" | "unchanged" | "history_gone";

/** Kinds of which a list is no larger than one event of a watch. */
const RELISTED_KINDS: ReadonlySet<FollowedKind> = new Set(["config"]);

interface StoreDownState {
  readonly prober: FollowedKind;
  readonly sinceMs: number;
  readonly recovered: Promise<void>;
  resolve(): void;
  failures: number;
}

/** Reads the store into a view with a list of each kind, then watches. */
export class StoreFollower {
  readonly #options: Required<StoreFollowerOptions>;
  readonly #errors: ErrorBoundary;
  #down: StoreDownState | null = null;
  #stopped = false;
  #suspended: { readonly resumed: Promise<void>; resolve(): void } | null = null;
  #listeners: readonly ReadListener[] = [];
  readonly #aborts = new Set<AbortController>();
  /** Number of large changes of each kind that were read in a row. */
  readonly #largeChanges = new Map<FollowedKind, number>();
  /** Pause after the last read of each kind. */
  readonly #pauseMs = new Map<FollowedKind, number>();
  /** Kinds of which the next watch does not wait for changes. */
  readonly #toConfirm = new Set<FollowedKind>();
  /** Deadlines of the calls in progress. */
  readonly #deadlines = new Set<ResponseDeadline>();

  constructor(options: StoreFollowerOptions) {
    this.#options = {
      ...options,
      countBytes: options.countBytes ?? (() => {}),
      firstWatchDelayMs: options.firstWatchDelayMs ?? 0,
      configWatchFactor: options.configWatchFactor ?? (() => 1),
      elapsedMs: options.elapsedMs ?? (() => options.clock.now()),
      isUrgent: options.isUrgent ?? (() => false),
      errors: options.errors ?? new ErrorBoundary(options),
      confirmsOnResume: options.confirmsOnResume ?? (() => false),
    };
    this.#errors = this.#options.errors;
  }

  /** Whether the last call to the store succeeded. */
  get reachable(): boolean {
    return this.#down === null;
  }

  start(): void {
    for (const kind of FOLLOWED_KINDS) void this.#follow(kind);
  }

  /** Suspends or resumes reading. Reading is suspended while peers keep the view fresh. */
  setSuspended(suspended: boolean): void {
    if (suspended === (this.#suspended !== null)) return;
    this.#options.log.state(suspended ? "store_reading_left_to_peer" : "store_reading_resumed", {});
    if (!suspended) {
      this.#suspended!.resolve();
      this.#suspended = null;
      return;
    }
    let resolve = () => {};
    const resumed = new Promise<void>((r) => {
      resolve = r;
    });
    this.#suspended = { resumed, resolve };
  }

  /** Calls `fn` after each read of the store. */
  registerListener(fn: ReadListener): Undo {
    this.#listeners = [...this.#listeners, fn];
    return () => {
      this.#listeners = this.#listeners.filter((l) => l !== fn);
    };
  }

  stop(): void {
    this.#stopped = true;
    this.setSuspended(false);
    for (const abort of this.#aborts) abort.abort();
  }

  async #follow<K extends FollowedKind>(kind: K): Promise<void> {
    let call: ReadCall = "list";
    let mustList = true;
    let isFirst = true;
    /** Number of responses in a row after which the kind had to be listed. */
    let relists = 0;
    const { clock, firstWatchDelayMs } = this.#options;
    while (!this.#stopped) {
      if (this.#suspended !== null && !mustList) {
        await this.#suspended.resumed;
        call = "watch";
        if (this.#options.confirmsOnResume(kind)) this.#toConfirm.add(kind);
      }
      const askedAtMs = this.#options.elapsedMs();
      try {
        const result: ReadResult = await (call === "list" ? this.#list(kind) : this.#watch(kind));
        this.#succeeded();
        const wasWatched = call === "watch" && result !== "history_gone";
        mustList = result === "history_gone";
        relists = mustList ? relists + 1 : wasWatched ? 0 : relists;
        for (const listener of this.#listeners) {
          listener(kind, { askedAtMs, isComplete: !mustList });
        }
        if (mustList && relists > 1) {
          await clock.sleep(Math.min(RELIST_MAX_MS, RELIST_MIN_MS * 2 ** (relists - 2)));
        }
        call = await this.#nextCall(kind, result);
        if (isFirst && firstWatchDelayMs > 0) {
          await clock.sleep(firstWatchDelayMs);
          this.#toConfirm.add(kind);
        }
        isFirst = false;
      } catch (e) {
        if (this.#stopped) return;
        await this.#failed(kind, toWpError(e));
      }
    }
  }

  /**
   * Chooses the next call, and pauses before it while a large object changes quickly, so that its responses do not
   * occupy the whole link.
   */
  async #nextCall(kind: FollowedKind, result: ReadResult): Promise<ReadCall> {
    if (result === "history_gone") return "list";
    const pauseMs = this.#pauseMs.get(kind) ?? 0;
    if (pauseMs === 0) return "watch";
    await this.#options.clock.sleep(pauseMs);
    // A watch may return each version that was written during the pause.
    return RELISTED_KINDS.has(kind) ? "list" : "watch";
  }

  /** Reads all objects of a kind. */
  #list<K extends FollowedKind>(kind: K): Promise<ReadResult> {
    const { store, view, log } = this.#options;
    const deadline = { firstByteMs: LIST_FIRST_BYTE_MS, busyFirstByteMs: LIST_FIRST_BYTE_MS };
    return this.#read(kind, "list", deadline, async (options) => {
      const current = view.kinds[kind];
      const before = { era: current.era, revision: newestRevision(current) };
      const { position } = current;
      const snapshot = await store.list(kind, options);
      // The store's responses are linearizable, so in one era it cannot be before what it had said when it was asked. A
      // gateway has named a position that the store never had.
      const isContradicted = snapshot.era === position.era && isBefore(snapshot, position);
      if (isContradicted) log.state("view_position_unknown_to_store", { kind, ...position });
      const contradicted = isContradicted ? position : undefined;
      this.#errors.run("view", () => current.replace(snapshot as never, "store", contradicted));
      // A list of an earlier era was delayed, or comes from a copy, and confirms nothing.
      if (snapshot.era !== current.era) return "history_gone";
      const after = { era: current.era, revision: newestRevision(current) };
      return isBefore(before, after) ? "changed" : "unchanged";
    });
  }

  #watch<K extends FollowedKind>(kind: K): Promise<ReadResult> {
    const { store, view, configWatchFactor, log } = this.#options;
    const factor = kind === "config" ? configWatchFactor() : 1;
    // A pause before the watch counts, so that the view is confirmed as often as without one.
    const pausedMs = this.#pauseMs.get(kind) ?? 0;
    const maxWaitMs = Math.max(PROBE_WAIT_MS, factor * WATCH_WAIT_MS[kind] - pausedMs);
    const deadline = {
      firstByteMs: maxWaitMs + WATCH_SLACK_MS,
      busyFirstByteMs: maxWaitMs + BUSY_WATCH_SLACK_MS,
    };
    return this.#read(kind, "watch", deadline, async (options) => {
      const { era, revision } = view.kinds[kind];
      // A probe must return at once when the store is back, not when something changes.
      const isProbe = this.#down !== null || this.#options.isUrgent(kind) ||
        this.#toConfirm.has(kind);
      const waitMs = isProbe ? PROBE_WAIT_MS : maxWaitMs;
      const result = await store.watch(kind, revision, { ...options, waitMs });
      this.#toConfirm.delete(kind);
      // Changes of another era do not follow from this view, which may be of another one by now, too.
      const isOtherEra = result.type === "changes" &&
        (result.changes.era !== era || view.kinds[kind].era !== era);
      if (result.type === "history_gone" || isOtherEra) {
        log.state("store_history_gone", { kind, era, revision, isOtherEra });
        return "history_gone";
      }
      const changes = result.changes as {
        era: number;
        revision: number;
        events: readonly { name: string; item: never }[];
      };
      this.#errors.run("view", () => view.kinds[kind].apply(changes, "store"));
      return changes.events.length > 0 ? "changed" : "unchanged";
    });
  }

  /** Runs one call, and aborts it when its response makes no progress. */
  async #read(
    kind: FollowedKind,
    call: ReadCall,
    limits: { readonly firstByteMs: number; readonly busyFirstByteMs: number },
    run: (options: ReadOptions) => Promise<ReadResult>,
  ): Promise<ReadResult> {
    const { clock, log } = this.#options;
    const abort = new AbortController();
    const deadline = new ResponseDeadline({
      clock,
      ...limits,
      idleMs: RESPONSE_IDLE_MS,
      isLinkBusy: () => [...this.#deadlines].some((d) => d.isArriving),
      onExpired: () => {
        log.state("store_read_aborted", { kind, call, ...deadline.summary() });
        abort.abort();
      },
    });
    this.#aborts.add(abort);
    this.#deadlines.add(deadline);
    try {
      const result = await run({ signal: abort.signal, onProgress: deadline.record });
      this.#recordRead(kind, call, deadline, result);
      return result;
    } finally {
      deadline.stop();
      this.#aborts.delete(abort);
      this.#deadlines.delete(deadline);
    }
  }

  #recordRead(
    kind: FollowedKind,
    call: ReadCall,
    response: ResponseDeadline,
    result: ReadResult,
  ): void {
    this.#options.countBytes(kind, response.receivedBytes);
    const isLarge = response.receivedBytes >= LARGE_RESPONSE_BYTES;
    const changes = isLarge && result === "changed" ? (this.#largeChanges.get(kind) ?? 0) + 1 : 0;
    this.#largeChanges.set(kind, changes);
    const pauseMs = READ_PAUSE_FACTOR * response.transferMs;
    this.#pauseMs.set(
      kind,
      changes >= MIN_CHANGES_TO_PAUSE ? Math.min(MAX_READ_PAUSE_MS, pauseMs) : 0,
    );
    if (isLarge) this.#options.log.state("store_read", { kind, call, ...response.summary() });
  }

  #succeeded(): void {
    const down = this.#down;
    if (down === null) return;
    this.#down = null;
    const downMs = this.#options.clock.now() - down.sinceMs;
    this.#options.log.state("store_regained", { downMs: Math.round(downMs) });
    down.resolve();
  }

  async #failed(kind: FollowedKind, err: WpError): Promise<void> {
    const down = this.#down ?? this.#markDown(kind, err);
    if (down.prober !== kind) return down.recovered;
    const maxDelayMs = Math.min(PROBE_MAX_MS, PROBE_MIN_MS * 2 ** down.failures);
    down.failures++;
    await this.#options.clock.sleep(maxDelayMs * (0.7 + 0.3 * this.#options.rng.next()));
  }

  #markDown(kind: FollowedKind, err: WpError): StoreDownState {
    let resolve = () => {};
    const recovered = new Promise<void>((r) => {
      resolve = r;
    });
    const down: StoreDownState = {
      prober: kind,
      sinceMs: this.#options.clock.now(),
      recovered,
      resolve,
      failures: 0,
    };
    this.#down = down;
    this.#options.log.state("store_lost", { kind, err });
    return down;
  }
}

/** Revision of the most recent change among the objects of a view. */
function newestRevision({ snapshot }: { readonly snapshot: Snapshot<unknown> }): number {
  let newest = 0;
  for (const { revision } of snapshot.items.values()) newest = Math.max(newest, revision);
  return newest;
}
