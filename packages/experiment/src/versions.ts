/**
 * Scenario `versions`: a service moves to a new version that is good, or bad in one of several ways.
 *
 * Entries run the move router of the product, the driver its sequential test and log. Failures and slow responses
 * of a version are drawn with probabilities given by its kind.
 *
 * @module
 */
import {
  type Change,
  ChangeSchema,
  ConfigLog,
  ConfigState,
  type Move,
  MoveDriver,
  MoveRouter,
} from "@wisteriapick/control";
import {
  type Fence,
  fence,
  ManualClock,
  moveId,
  processId,
  Rng,
  serviceId,
  versionId,
} from "@wisteriapick/core";
import { MemoryObjectStore } from "@wisteriapick/standins";

/** Kinds of new version, by the defect that they have. */
export const VERSION_KINDS = [
  "good",
  "bad_at_once",
  "bad_later",
  "bad_at_large_share",
  "bad_under_load",
  "bad_on_one_route",
  "slow_first_token",
  "slow_gaps",
] as const;
export type VersionKind = typeof VERSION_KINDS[number];

/** Options of {@link runVersions}. */
export interface VersionsOptions {
  readonly seed: number;
  readonly kind: VersionKind;
  readonly entries?: number;
  readonly requestsPerSecond?: number;
  /** Time from the start of the move to its deadline. */
  readonly allowedMs?: number;
  /** Time from the acceptance of a change until it is in force at the entries. */
  readonly propagationMs?: number;
  /** Probability that a failing version fails an affected request. */
  readonly failure?: number;
}

/** Figures of one run. */
export interface VersionsReport {
  readonly scenario: "versions";
  readonly kind: VersionKind;
  readonly seed: number;
  readonly entries: number;
  readonly requests_per_s: number;
  readonly allowed_s: number;
  readonly outcome: Move["state"];
  readonly reason: string;
  readonly end_s: number;
  /** End of the move as a fraction of the allowed time. */
  readonly end_part: number;
  readonly requests_to_new: number;
  readonly bad_answers_of_new: number;
  /**
   * Requests to the new version after its first 50 bad responses since it turned bad, and requests to either
   * version from then to the deadline.
   */
  readonly new_after_50_bad: number;
  readonly requests_after_50_bad: number;
  /** Requests to the new version more than 5 s after the end of the move; counted only if it was taken back. */
  readonly new_5s_after_verdict: number;
  /** Entries that had stopped on their own evidence when the move ended, before its end was in force there. */
  readonly entries_stopped: number;
}

interface Rates {
  readonly failure: number;
  readonly slowFirst: number;
  readonly slowGap: number;
}

interface ServedRequest {
  readonly atMs: number;
  readonly isNew: boolean;
  readonly isBad: boolean;
}

const SERVICE = serviceId("scribe");
const OLD = versionId("v1");
const NEW = versionId("v2");
const MOVE = moveId("scribe-v1-v2");
const GOOD: Rates = { failure: 0.002, slowFirst: 0.03, slowGap: 0.02 };
const BAD_LATER_MS = 240_000;
/** At this time a good version has half of the traffic. */
const BAD_AT_LARGE_SHARE_MS = 440_000;
const STEP_MS = 250;
const GAPS_PER_RESPONSE = 20;
/** A response with at least this many slow gaps counts as bad. */
const BAD_RESPONSE_SLOW_GAPS = 5;

function ratesOf(
  kind: VersionKind,
  failure: number,
  at: { route: string; isHighLoad: boolean; atMs: number },
): Rates {
  const failing = { ...GOOD, failure };
  switch (kind) {
    case "good":
      return GOOD;
    case "bad_at_once":
      return failing;
    case "bad_later":
      return at.atMs > BAD_LATER_MS ? failing : GOOD;
    case "bad_at_large_share":
      return at.atMs > BAD_AT_LARGE_SHARE_MS ? failing : GOOD;
    case "bad_under_load":
      return at.isHighLoad ? failing : GOOD;
    case "bad_on_one_route":
      return at.route === "/tags" ? failing : GOOD;
    case "slow_first_token":
      return { ...GOOD, slowFirst: 0.5 };
    case "slow_gaps":
      return { ...GOOD, slowGap: 0.4 };
  }
}

/** Returns the time at which versions of a kind turn bad. */
function defectStartMs(kind: VersionKind): number {
  if (kind === "bad_later") return BAD_LATER_MS;
  return kind === "bad_at_large_share" ? BAD_AT_LARGE_SHARE_MS : 0;
}

class VersionsRun {
  readonly #o: Required<VersionsOptions>;
  readonly #clock = new ManualClock({ wallStart: 0 });
  readonly #store = new MemoryObjectStore({ clock: this.#clock });
  readonly #rng: Rng;
  readonly #states: ConfigState[];
  readonly #routers: MoveRouter[];
  readonly #driverState = new ConfigState(this.#clock);
  readonly #driverLog: ConfigLog;
  readonly #driver: MoveDriver;
  readonly #served: ServedRequest[] = [];
  #requests = 0;
  #owedRequests = 0;
  #stoppedEntries = 0;

  constructor(options: VersionsOptions) {
    this.#o = {
      entries: 3,
      requestsPerSecond: 40,
      allowedMs: 1_200_000,
      propagationMs: 300,
      failure: 0.5,
      ...options,
    };
    this.#rng = new Rng(this.#o.seed).fork(`versions/${this.#o.kind}`);
    this.#states = Array.from({ length: this.#o.entries }, () => new ConfigState(this.#clock));
    this.#routers = this.#states.map((s, i) =>
      new MoveRouter(s, this.#clock, processId(`entry-${i}`))
    );
    this.#driverLog = new ConfigLog(this.#store, this.#clock, this.#rng.fork("log"));
    this.#driver = new MoveDriver({
      service: SERVICE,
      lease: { fence: (): Fence => fence(1) },
      log: this.#driverLog,
      clock: this.#clock,
      who: "driver",
    }, this.#driverState);
  }

  async run(): Promise<VersionsReport> {
    await this.#driverLog.append({
      id: "base",
      note: { who: "experiment", atMs: 0, why: "base" },
      build: () => this.#initialChanges(),
    });
    this.#propagate();
    let ended: number | null = null;
    while (this.#clock.now() < this.#o.allowedMs) {
      await this.#step();
      if (ended === null && this.#move().state !== "open") {
        ended = this.#clock.now();
        this.#stoppedEntries = this.#routers.filter((r) => r.isStopped(SERVICE)).length;
      }
    }
    return this.#report(ended ?? this.#clock.now());
  }

  #initialChanges(): Change[] {
    const service = {
      id: SERVICE,
      kind: "model",
      versions: [{ id: OLD }, { id: NEW }],
      activeVersion: OLD,
    };
    const move = {
      id: MOVE,
      service: SERVICE,
      from: OLD,
      to: NEW,
      startMs: 0,
      deadlineMs: this.#o.allowedMs,
      share: 0.01,
      state: "open",
    };
    return [{ type: "put_service", service }, { type: "open_move", move }]
      .map((raw) => ChangeSchema.parse(raw));
  }

  #move(): Move {
    return this.#driverLog.state.current().moves.get(MOVE)!;
  }

  async #step(): Promise<void> {
    this.#sendDueRequests();
    if (this.#clock.now() % 500 === 0) {
      for (const router of this.#routers) {
        const report = router.takeEvidence();
        if (report !== null) this.#driver.onEvidence(report);
      }
      const before = this.#driverLog.state.current().revision;
      await this.#driver.tick();
      if (this.#driverLog.state.current().revision > before) {
        this.#clock.setTimer(this.#o.propagationMs, () => this.#propagate());
      }
    }
    this.#clock.advance(STEP_MS);
  }

  #propagate(): void {
    for (const state of [...this.#states, this.#driverState]) {
      const from = state.current().revision;
      for (const e of this.#driverLog.state.entriesAfter(from) ?? []) state.applyEntry(e);
      state.recordProof(this.#clock.now());
    }
  }

  #sendDueRequests(): void {
    this.#owedRequests += this.#o.requestsPerSecond * STEP_MS / 1_000;
    for (; this.#owedRequests >= 1; this.#owedRequests--) this.#sendOne();
  }

  #sendOne(): void {
    const rng = this.#rng;
    const router = rng.pick(this.#routers);
    const route = rng.chance(0.25) ? "/tags" : "/descriptions";
    const isHighLoad = rng.chance(0.3);
    const atMs = this.#clock.now();
    const version = router.versionFor(SERVICE, `r${this.#requests++}`)!;
    const isNew = version === NEW;
    const c = isNew ? ratesOf(this.#o.kind, this.#o.failure, { route, isHighLoad, atMs }) : GOOD;
    const failed = rng.chance(c.failure);
    const slow = rng.chance(c.slowFirst);
    let slowGaps = 0;
    for (let i = 0; i < GAPS_PER_RESPONSE; i++) if (rng.chance(c.slowGap)) slowGaps++;
    router.record({
      service: SERVICE,
      version,
      route,
      loadLevel: isHighLoad ? "high" : "low",
      failed,
      firstTokenMs: slow ? 900 : 120,
      gaps: GAPS_PER_RESPONSE,
      slowGaps,
    });
    this.#served.push({ atMs, isNew, isBad: failed || slow || slowGaps >= BAD_RESPONSE_SLOW_GAPS });
  }

  #report(endMs: number): VersionsReport {
    const { kind, seed, entries, requestsPerSecond, allowedMs } = this.#o;
    const { state, reason } = this.#move();
    const toNew = this.#served.filter((s) => s.isNew);
    let badCount = 0;
    const defectMs = defectStartMs(kind);
    const at = this.#served.findIndex((s) =>
      s.isNew && s.isBad && s.atMs > defectMs && ++badCount === 50
    );
    const later = at < 0 ? [] : this.#served.slice(at + 1);
    const toNewAfterVerdict = toNew.filter((s) => s.atMs > endMs + 5_000).length;
    return {
      scenario: "versions",
      kind,
      seed,
      entries,
      requests_per_s: requestsPerSecond,
      allowed_s: allowedMs / 1_000,
      outcome: state,
      reason,
      end_s: endMs / 1_000,
      end_part: Math.round(1_000 * endMs / allowedMs) / 1_000,
      requests_to_new: toNew.length,
      bad_answers_of_new: toNew.filter((s) => s.isBad && s.atMs > defectMs).length,
      new_after_50_bad: later.filter((s) => s.isNew).length,
      requests_after_50_bad: later.length,
      new_5s_after_verdict: state === "taken_back" ? toNewAfterVerdict : 0,
      entries_stopped: this.#stoppedEntries,
    };
  }
}

/**
 * Runs the scenario for one kind of new version.
 *
 * @example
 * ```ts
 * const report = await runVersions({ seed: 1, kind: "bad_under_load" });
 * console.log(report.outcome, report.requests_to_new);
 * ```
 */
export function runVersions(options: VersionsOptions): Promise<VersionsReport> {
  return new VersionsRun(options).run();
}
