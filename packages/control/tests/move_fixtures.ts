import { ManualClock, processId, revision, Rng } from "@wisteriapick/core";
import {
  ConfigState,
  decodeEntry,
  MoveDriver,
  MoveRouter,
  type RequestOutcome,
} from "../src/mod.ts";
import {
  baseChanges,
  makeLog,
  MemoryStore,
  MOVE,
  openMove,
  run,
  SCRIBE,
  V2,
  write,
} from "./fixtures.ts";

/** Chances of bad outcomes per request, or per gap, of a version. */
export interface Quality {
  readonly failure?: number;
  readonly slowFirst?: number;
  readonly slowGap?: number;
}

/** Circumstances of a request, on which the quality of a version may depend. */
export interface Situation {
  readonly route: string;
  readonly loadLevel: "low" | "high";
  readonly sinceMs: number;
}

export interface MoveSimOptions {
  readonly seed?: number;
  readonly entries?: number;
  readonly perSecond?: number;
  readonly allowedMs?: number;
  readonly good?: Quality;
  readonly quality: (s: Situation) => Quality;
}

const PROPAGATION_MS = 300;

/** A simulated move: entries with traffic, a driver and the log on an in-memory store, with one manual clock. */
export class MoveSim {
  readonly clock = new ManualClock({ wallStart: 0 });
  readonly store = new MemoryStore(this.clock);
  readonly log = makeLog(this.store, this.clock);
  readonly entries: { router: MoveRouter; state: ConfigState }[] = [];
  readonly driver: MoveDriver;
  /** Each request in order, with whether the new version served it and whether its outcome was bad. */
  readonly served: { atMs: number; isNew: boolean; bad: boolean }[] = [];
  fence: ReturnType<typeof revision> | null = revision(1);
  #driverState = new ConfigState(this.clock);
  #rng: Rng;
  #options: Required<MoveSimOptions>;
  #lastTick: Promise<void> = Promise.resolve();
  #request = 0;

  constructor(options: MoveSimOptions) {
    this.#options = {
      seed: 1,
      entries: 3,
      perSecond: 40,
      allowedMs: 1_200_000,
      good: { failure: 0.002, slowFirst: 0.03, slowGap: 0.02 },
      ...options,
    };
    this.#rng = new Rng(this.#options.seed);
    const driverLog = makeLog(this.store, this.clock, 77);
    this.driver = new MoveDriver({
      service: SCRIBE,
      lease: { fence: () => this.fence as never },
      log: driverLog,
      clock: this.clock,
      who: "driver",
    }, this.#driverState);
    for (let i = 0; i < this.#options.entries; i++) {
      const state = new ConfigState(this.clock);
      const router = new MoveRouter(state, this.clock, processId(`entry-${i}`));
      this.entries.push({ router, state });
    }
  }

  async open(): Promise<void> {
    await write(this.log, "base", [
      ...baseChanges(),
      openMove({ deadlineMs: this.#options.allowedMs }),
    ]);
    this.propagate();
  }

  get move() {
    return this.log.state.current().moves.get(MOVE)!;
  }

  /** Applies the log as it is in the store now to the state of every process. */
  propagate(): void {
    const states = [...this.entries.map((e) => e.state), this.#driverState, this.log.state];
    for (const [key, obj] of this.store.objects) {
      if (!key.startsWith("config/log/")) continue;
      for (const state of states) state.applyEntry(decodeEntry(obj.value));
    }
    for (const state of states) state.recordProof(this.clock.now());
  }

  /** Runs traffic until `untilMs` or until `stop` returns true. */
  async run(untilMs: number, stop: () => boolean = () => false): Promise<void> {
    const step = 500;
    while (this.clock.now() < untilMs && !stop()) {
      this.#serveTraffic(step);
      for (const { router } of this.entries) {
        const report = router.takeEvidence();
        if (report !== null) this.driver.onEvidence(report);
      }
      this.#lastTick = this.driver.tick();
      await run(this.clock, step, 250);
      if (this.store.up && this.clock.now() % PROPAGATION_MS < step) this.propagate();
    }
  }

  async settle(): Promise<void> {
    await this.#lastTick;
  }

  /** Requests after the bad outcome number `count` of the new version. */
  requestsAfterBad(count: number): { requests: number; ofNew: number } {
    let bad = 0;
    const at = this.served.findIndex((s) => s.isNew && s.bad && ++bad === count);
    const rest = at < 0 ? [] : this.served.slice(at + 1);
    return { requests: rest.length, ofNew: rest.filter((s) => s.isNew).length };
  }

  get newRequests(): number {
    return this.served.filter((s) => s.isNew).length;
  }

  #serveTraffic(ms: number): void {
    const { perSecond } = this.#options;
    const mean = perSecond * ms / 1_000;
    const count = Math.floor(mean) + (this.#rng.chance(mean % 1) ? 1 : 0);
    for (let i = 0; i < count; i++) this.#serveOne();
  }

  #serveOne(): void {
    const { router } = this.#rng.pick(this.entries);
    const route = this.#rng.chance(0.25) ? "/tags" : "/descriptions";
    const loadLevel = this.#rng.chance(0.3) ? "high" as const : "low" as const;
    const version = router.versionFor(SCRIBE, `r${this.#request++}`)!;
    const isNew = version === V2;
    const situation = { route, loadLevel, sinceMs: this.clock.now() };
    const q = isNew ? this.#options.quality(situation) : this.#options.good;
    const failed = this.#rng.chance(q.failure ?? 0);
    const slow = this.#rng.chance(q.slowFirst ?? 0);
    const gaps = 20;
    const slowGaps = Array.from({ length: gaps }, () => this.#rng.chance(q.slowGap ?? 0));
    const out: RequestOutcome = {
      service: SCRIBE,
      version,
      route,
      loadLevel,
      failed,
      firstTokenMs: slow ? 900 : 120,
      gaps,
      slowGaps: slowGaps.filter(Boolean).length,
    };
    router.record(out);
    const bad = failed || slow || out.slowGaps! > 4;
    this.served.push({ atMs: this.clock.now(), isNew, bad });
  }
}

export const GOOD: Quality = { failure: 0.002, slowFirst: 0.03, slowGap: 0.02 };
