/**
 * Runs the policies of the product over a setup.
 *
 * @module
 */
import { type EndpointId, type GenerationId, ManualClock, Rng } from "@wisteriapick/core";
import type { SideAdmissionOptions, SuspectEntry } from "@wisteriapick/policy";
import type { ModelFinish, StepResult } from "@wisteriapick/standins";
import {
  CLIENT_DELAY_MS,
  CROSS_DATA_CENTRE_DELAY_MS,
  GOSSIP_DELAY_MS,
  LINK_DELAY_MS,
} from "./delays.ts";
import { Fleet } from "./fleet.ts";
import { Recorder } from "./recorder.ts";
import { type EntryOptions, SimEntry } from "./sim_entry.ts";
import { SimLink } from "./sim_link.ts";
import { SimSide } from "./sim_side.ts";
import type { Disturbance, EndpointSpec, Job, PolicyResult, Setup } from "./types.ts";

/** Options of the policy classes, to try other values. */
export interface ProductOptions {
  readonly entry?: EntryOptions;
  readonly side?: SideAdmissionOptions;
}

// Interval at which a side polls its engine for its load.
const ENGINE_POLL_INTERVAL_MS = 250;

class ProductRun {
  readonly #clock = new ManualClock();
  readonly #setup: Setup;
  readonly #options: ProductOptions;
  readonly #recorder: Recorder;
  readonly #fleet: Fleet;
  readonly #sides = new Map<EndpointId, SimSide>();
  readonly #entries: SimEntry[];
  readonly #silentUntilMs = new Map<EndpointId, number>();
  readonly #cacheSeq = new Map<EndpointId, number>();

  constructor(setup: Setup, options: ProductOptions) {
    this.#setup = setup;
    this.#options = options;
    this.#recorder = new Recorder(setup.arrivalMs);
    const rng = new Rng(setup.seed);
    this.#entries = Array.from({ length: setup.entries }, (_, i) => this.#createEntry(i, rng));
    this.#fleet = new Fleet(this.#clock, setup, rng.fork("engines"), {
      onJoin: (spec) => this.#join(spec),
      onStep: (endpoint, step) => this.#step(endpoint, step),
      onFinish: (endpoint, gen, finish) => this.#finish(endpoint, gen, finish),
      onCrash: (endpoint) => this.#sides.get(endpoint)?.crashed(),
      onRestart: (endpoint) => this.#sides.get(endpoint)?.setLeaving(false),
      onDisturbance: (d) => this.#disturb(d),
    });
  }

  run(): PolicyResult {
    const { jobs, arrivalMs, reportIntervalMs, entries, resend } = this.#setup;
    for (const job of jobs) {
      this.#clock.setTimer(job.atMs, () => this.#recorder.arrive(job));
      this.#clock.setTimer(job.atMs + CLIENT_DELAY_MS, () => this.#accept(job, 0));
    }
    const stopEnginePolls = this.#clock.setRepeating(ENGINE_POLL_INTERVAL_MS, () => {
      for (const side of this.#sides.values()) side.fetchLoad();
    });
    const stopReports = this.#clock.setRepeating(reportIntervalMs, () => this.#report());
    this.#clock.advance(arrivalMs + entries * resend.ms);
    stopReports();
    stopEnginePolls();
    while (this.#clock.step());
    return this.#recorder.result(this.#fleet.counts());
  }

  #createEntry(i: number, rng: Rng): SimEntry {
    return new SimEntry({
      clock: this.#clock,
      name: `entry-${i}`,
      rng: rng.fork(`entry-${i}`),
      recorder: this.#recorder,
      onSuspect: (entries) => this.#gossip(i, entries),
      options: this.#options.entry,
    });
  }

  #accept(job: Job, resends: number): void {
    const { resend, entries } = this.#setup;
    this.#entries[(job.entry + resends) % entries]!.accept(job);
    if (!job.poison || resends >= resend.times) return;
    this.#clock.setTimer(resend.ms, () => this.#accept(job, resends + 1));
  }

  #join(spec: EndpointSpec): void {
    const side = new SimSide(this.#clock, this.#fleet, spec, this.#options.side ?? {});
    this.#sides.set(spec.endpoint, side);
    const extraDelayMs = spec.dataCentre === "dc-0" ? 0 : CROSS_DATA_CENTRE_DELAY_MS;
    for (const entry of this.#entries) {
      entry.addSide(side, new SimLink(this.#clock, LINK_DELAY_MS + extraDelayMs));
    }
  }

  #step(endpoint: EndpointId, step: StepResult): void {
    this.#sides.get(endpoint)!.step(step);
  }

  #finish(endpoint: EndpointId, gen: GenerationId, finish: ModelFinish): void {
    this.#sides.get(endpoint)!.finish(gen, finish);
  }

  #gossip(from: number, entries: readonly SuspectEntry[]): void {
    this.#clock.setTimer(GOSSIP_DELAY_MS, () => {
      this.#entries.forEach((entry, i) => {
        if (i !== from) entry.mergeSuspects(entries);
      });
    });
  }

  /**
   * Sends the load and cache events of each side to the entries with the report delay. A side whose reports
   * have stopped sends nothing.
   */
  #report(): void {
    const now = this.#clock.now();
    for (const [endpoint, side] of this.#sides) {
      if ((this.#silentUntilMs.get(endpoint) ?? 0) > now) continue;
      const load = side.load();
      const engine = this.#fleet.get(endpoint);
      const events = engine.cacheEvents(this.#cacheSeq.get(endpoint) ?? 0);
      const last = events.at(-1);
      if (last !== undefined) this.#cacheSeq.set(endpoint, last.seq);
      this.#clock.setTimer(this.#setup.reportLagMs, () => {
        for (const entry of this.#entries) {
          entry.recordLoad(load);
          for (const e of events) entry.recordCacheEvent(endpoint, e.type, e.prefix);
        }
      });
    }
  }

  #disturb(d: Disturbance): void {
    const now = this.#clock.now();
    const side = this.#sides.get(d.endpoint)!;
    if (d.type === "side_restart") side.restart();
    else if (d.type === "reclaim") side.setLeaving(true);
    else if (d.type === "reports_stop") this.#silentUntilMs.set(d.endpoint, now + (d.ms ?? 0));
    else if (d.type === "link_stall") {
      this.#entries[d.entry ?? 0]!.link(d.endpoint).stall(d.ms ?? 0);
    }
  }
}

/** Runs the product over a setup. */
export function runProduct(setup: Setup, options: ProductOptions = {}): PolicyResult {
  return new ProductRun(setup, options).run();
}
