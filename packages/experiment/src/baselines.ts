/**
 * Four naive balancers. They hand everything to the engines' own first-come-first-served admission.
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

interface Known {
  readonly endpoint: EndpointId;
  /** Requests this entry has sent and not seen end. */
  outstanding: number;
  /** Load by the last report, and what this entry sent since. */
  reported: number;
  sentSince: number;
  /** Health by the last report. */
  up: boolean;
}

type Choose = (known: readonly Known[], rng: Rng, turn: number) => Known;

function least(known: readonly Known[], rng: Rng, of: (k: Known) => number): Known {
  let best = known[0]!;
  let ties = 1;
  for (const k of known.slice(1)) {
    const d = of(k) - of(best);
    if (d > 0) continue;
    ties = d < 0 ? 1 : ties + 1;
    if (d < 0 || rng.int(ties) === 0) best = k;
  }
  return best;
}

const CHOOSERS: Record<BaselineName, Choose> = {
  random: (known, rng) => rng.pick(known),
  round_robin: (known, _rng, turn) => known[turn % known.length]!,
  least_outstanding: (known, rng) => least(known, rng, (k) => k.outstanding),
  power_of_two: (known, rng) => {
    const pair = [rng.pick(known), rng.pick(known)];
    return least(pair, rng, (k) => k.reported + k.sentSince);
  },
};

/** One naive run. */
class BaselineRun {
  readonly #clock = new ManualClock();
  readonly #setup: Setup;
  readonly #rng: Rng;
  readonly #choose: Choose;
  readonly #recorder: Recorder;
  readonly #fleet: Fleet;
  readonly #known: Map<ServiceId, Known[]>[];
  readonly #turns: number[];
  readonly #jobs = new Map<string, { job: Job; known: Known; attempt: number }>();
  readonly #silentUntil = new Map<EndpointId, number>();
  #sends = 0;

  constructor(setup: Setup, name: BaselineName) {
    this.#setup = setup;
    this.#rng = new Rng(setup.seed).fork(name);
    this.#choose = CHOOSERS[name];
    this.#recorder = new Recorder(setup.arrivalMs);
    this.#known = Array.from({ length: setup.entries }, () => new Map());
    this.#turns = new Array(setup.entries).fill(0);
    // Engines draw the same numbers under every policy.
    const engineRng = new Rng(setup.seed).fork("engines");
    this.#fleet = new Fleet(this.#clock, setup, engineRng, {
      onJoin: (spec) => this.#join(spec.endpoint, spec.service),
      onStep: (_endpoint, step) => this.#step(step.gens, step.produced),
      onFinish: (_endpoint, gen, how) => this.#finish(gen, how === "stop"),
      onCrash: () => {},
      onRestart: () => {},
      onDisturbance: (d) => {
        if (d.type === "reports_stop") {
          this.#silentUntil.set(d.endpoint, this.#clock.now() + (d.ms ?? 0));
        }
      },
    });
  }

  run(): PolicyResult {
    const { jobs, arrivalMs } = this.#setup;
    for (const job of jobs) this.#clock.setTimer(job.atMs, () => this.#arrive(job));
    const undo = this.#clock.setRepeating(this.#setup.reportIntervalMs, () => this.#report());
    this.#clock.advance(arrivalMs);
    undo();
    while (this.#clock.step());
    return this.#recorder.result(this.#fleet.counts());
  }

  #join(endpoint: EndpointId, service: ServiceId): void {
    for (const map of this.#known) {
      const list = map.get(service) ?? [];
      list.push({ endpoint, outstanding: 0, reported: 0, sentSince: 0, up: true });
      map.set(service, list);
    }
  }

  #arrive(job: Job): void {
    this.#recorder.arrive(job);
    this.#send(job, 0);
  }

  #send(job: Job, resends: number): void {
    const entry = (job.entry + resends) % this.#setup.entries;
    const all = this.#known[entry]!.get(job.service)!;
    const up = all.filter((k) => k.up);
    const known = this.#choose(up.length > 0 ? up : all, this.#rng, this.#turns[entry]!++);
    known.outstanding++;
    known.sentSince++;
    this.#clock.setTimer(CLIENT_DELAY_MS + LINK_DELAY_MS, () => {
      const attempt = this.#sends++;
      const gen = generationId(`g${attempt}`);
      this.#jobs.set(gen, { job, known, attempt });
      if (!this.#fleet.submit(known.endpoint, gen, job)) this.#finish(gen, false);
    });
    if (job.poison && resends < this.#setup.resend.times) {
      this.#clock.setTimer(this.#setup.resend.ms, () => this.#resend(job, resends + 1));
    }
  }

  // The caller of a poisonous request sends it again as a new request, to the next entry.
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

  #finish(gen: string, ok: boolean): void {
    const { job, known } = this.#jobs.get(gen)!;
    this.#jobs.delete(gen);
    known.outstanding--;
    if (ok) this.#recorder.completed(job.index);
    else if (!this.#recorder.ended(job.index)) this.#recorder.failed(job.index, "engine_lost");
  }

  /** Load reports: the engine's own lag, and the way to the entry. */
  #report(): void {
    const { reportLagMs } = this.#setup;
    const now = this.#clock.now();
    for (const map of this.#known) {
      for (const list of map.values()) {
        for (const known of list) {
          if ((this.#silentUntil.get(known.endpoint) ?? 0) > now) continue;
          const engine = this.#fleet.get(known.endpoint);
          const load = engine.load();
          const up = engine.isAlive;
          this.#clock.setTimer(reportLagMs, () => {
            known.up = up;
            known.reported = load.running + load.waiting;
            known.sentSince = 0;
          });
        }
      }
    }
  }
}

/** Runs one baseline over a setup. */
export function runBaseline(setup: Setup, name: BaselineName): PolicyResult {
  return new BaselineRun(setup, name).run();
}
