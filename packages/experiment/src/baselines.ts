/**
 * Four naive load balancers. They leave admission to the engines, which is first come, first served.
 *
 * @module
 */
import {
  type EndpointId,
  generationId,
  ManualClock,
  Rng,
  type ServiceId,
} from "@wisteriapick/core";
import { CLIENT_DELAY_MS, LINK_DELAY_MS } from "./delays.ts";
import { Fleet } from "./fleet.ts";
import { Recorder } from "./recorder.ts";
import type { Job, PolicyResult, Setup } from "./types.ts";

/** Names of the baseline policies. */
export const BASELINES = ["random", "round_robin", "least_outstanding", "power_of_two"] as const;

/** One of {@link BASELINES}. */
export type BaselineName = typeof BASELINES[number];

interface EndpointView {
  readonly endpoint: EndpointId;
  /** Requests that this entry sent and that have not ended. */
  outstanding: number;
  /** Running and waiting requests by the last report, and requests that this entry sent since then. */
  reportedLoad: number;
  sentSinceReport: number;
  /** Whether the engine was alive by the last report. */
  isUp: boolean;
}

type ChooseEndpoint = (views: readonly EndpointView[], rng: Rng, sendCount: number) => EndpointView;

function pickLeast(
  views: readonly EndpointView[],
  rng: Rng,
  of: (k: EndpointView) => number,
): EndpointView {
  let best = views[0]!;
  let ties = 1;
  for (const k of views.slice(1)) {
    const d = of(k) - of(best);
    if (d > 0) continue;
    ties = d < 0 ? 1 : ties + 1;
    if (d < 0 || rng.int(ties) === 0) best = k;
  }
  return best;
}

const CHOOSERS: Record<BaselineName, ChooseEndpoint> = {
  random: (views, rng) => rng.pick(views),
  round_robin: (views, _rng, sendCount) => views[sendCount % views.length]!,
  least_outstanding: (views, rng) => pickLeast(views, rng, (k) => k.outstanding),
  power_of_two: (views, rng) => {
    const pair = [rng.pick(views), rng.pick(views)];
    return pickLeast(pair, rng, (k) => k.reportedLoad + k.sentSinceReport);
  },
};

/** One run of a baseline policy. */
class BaselineRun {
  readonly #clock = new ManualClock();
  readonly #setup: Setup;
  readonly #rng: Rng;
  readonly #choose: ChooseEndpoint;
  readonly #recorder: Recorder;
  readonly #fleet: Fleet;
  readonly #views: Map<ServiceId, EndpointView[]>[];
  readonly #sendCounts: number[];
  readonly #jobs = new Map<string, { job: Job; view: EndpointView; attempt: number }>();
  readonly #silentUntilMs = new Map<EndpointId, number>();
  #attempts = 0;

  constructor(setup: Setup, name: BaselineName) {
    this.#setup = setup;
    this.#rng = new Rng(setup.seed).fork(name);
    this.#choose = CHOOSERS[name];
    this.#recorder = new Recorder(setup.arrivalMs);
    this.#views = Array.from({ length: setup.entries }, () => new Map());
    this.#sendCounts = new Array(setup.entries).fill(0);
    // The engines draw the same random numbers under every policy.
    const engineRng = new Rng(setup.seed).fork("engines");
    this.#fleet = new Fleet(this.#clock, setup, engineRng, {
      onJoin: (spec) => this.#join(spec.endpoint, spec.service),
      onStep: (_endpoint, step) => this.#step(step.gens, step.produced),
      onFinish: (_endpoint, gen, finish) => this.#finish(gen, finish === "stop"),
      onCrash: () => {},
      onRestart: () => {},
      onDisturbance: (d) => {
        if (d.type === "reports_stop") {
          this.#silentUntilMs.set(d.endpoint, this.#clock.now() + (d.ms ?? 0));
        }
      },
    });
  }

  run(): PolicyResult {
    const { jobs, arrivalMs } = this.#setup;
    for (const job of jobs) this.#clock.setTimer(job.atMs, () => this.#arrive(job));
    const stopReports = this.#clock.setRepeating(
      this.#setup.reportIntervalMs,
      () => this.#report(),
    );
    this.#clock.advance(arrivalMs);
    stopReports();
    while (this.#clock.step());
    return this.#recorder.result(this.#fleet.counts());
  }

  #join(endpoint: EndpointId, service: ServiceId): void {
    for (const map of this.#views) {
      const list = map.get(service) ?? [];
      list.push({ endpoint, outstanding: 0, reportedLoad: 0, sentSinceReport: 0, isUp: true });
      map.set(service, list);
    }
  }

  #arrive(job: Job): void {
    this.#recorder.arrive(job);
    this.#send(job, 0);
  }

  #send(job: Job, resends: number): void {
    const entry = (job.entry + resends) % this.#setup.entries;
    const all = this.#views[entry]!.get(job.service)!;
    const healthy = all.filter((k) => k.isUp);
    const view = this.#choose(
      healthy.length > 0 ? healthy : all,
      this.#rng,
      this.#sendCounts[entry]!++,
    );
    view.outstanding++;
    view.sentSinceReport++;
    this.#clock.setTimer(CLIENT_DELAY_MS + LINK_DELAY_MS, () => {
      const attempt = this.#attempts++;
      const gen = generationId(`g${attempt}`);
      this.#jobs.set(gen, { job, view, attempt });
      if (!this.#fleet.submit(view.endpoint, gen, job)) this.#finish(gen, false);
    });
    if (job.poison && resends < this.#setup.resend.times) {
      this.#clock.setTimer(this.#setup.resend.ms, () => this.#resend(job, resends + 1));
    }
  }

  // The caller of a poison request sends it again as a new request, to the next entry.
  #resend(job: Job, resends: number): void {
    this.#send(job, resends);
  }

  #step(gens: readonly string[], produced: readonly number[]): void {
    const atMs = this.#clock.now() + CLIENT_DELAY_MS + LINK_DELAY_MS;
    for (let i = 0; i < gens.length; i++) {
      const { job, attempt } = this.#jobs.get(gens[i]!)!;
      this.#recorder.token(job.index, attempt, produced[i]! - 1, atMs);
    }
  }

  #finish(gen: string, isCompleted: boolean): void {
    const { job, view } = this.#jobs.get(gen)!;
    this.#jobs.delete(gen);
    view.outstanding--;
    if (isCompleted) this.#recorder.completed(job.index);
    else if (!this.#recorder.ended(job.index)) this.#recorder.failed(job.index, "engine_lost");
  }

  /**
   * Reports the load of each engine to all entries, with the report delay on top of the lag of the engine's own
   * figures.
   */
  #report(): void {
    const { reportLagMs } = this.#setup;
    const now = this.#clock.now();
    for (const map of this.#views) {
      for (const list of map.values()) {
        for (const view of list) {
          if ((this.#silentUntilMs.get(view.endpoint) ?? 0) > now) continue;
          const engine = this.#fleet.get(view.endpoint);
          const load = engine.load();
          const isUp = engine.alive;
          this.#clock.setTimer(reportLagMs, () => {
            view.isUp = isUp;
            view.reportedLoad = load.running + load.waiting;
            view.sentSinceReport = 0;
          });
        }
      }
    }
  }
}

/** Runs one baseline policy over a setup. */
export function runBaseline(setup: Setup, name: BaselineName): PolicyResult {
  return new BaselineRun(setup, name).run();
}
