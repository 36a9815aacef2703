/**
 * The simulated engines of one run, and the disturbances applied to them.
 *
 * @module
 */
import type { Clock, EndpointId, GenerationId, Rng } from "@wisteriapick/core";
import { EngineModel, type ModelFinish, type StepResult } from "@wisteriapick/standins";
import type { EngineCounts } from "./recorder.ts";
import type { Disturbance, EndpointSpec, Job, Setup } from "./types.ts";

/** Receives the events of the engines of a {@link Fleet}. */
export interface FleetListener {
  onJoin(spec: EndpointSpec): void;
  onStep(endpoint: EndpointId, step: StepResult): void;
  onFinish(endpoint: EndpointId, gen: GenerationId, finish: ModelFinish): void;
  /** Called when an engine has crashed; `onFinish` with `crashed` follows for each of its generations. */
  onCrash(endpoint: EndpointId): void;
  onRestart(endpoint: EndpointId): void;
  /** Called for disturbances that the driver has to apply, as they do not affect the engine alone. */
  onDisturbance(disturbance: Disturbance): void;
}

/** Holds the engines by endpoint, applies the disturbances of the setup and restarts crashed engines. */
export class Fleet {
  readonly #clock: Clock;
  readonly #setup: Setup;
  readonly #listener: FleetListener;
  readonly #engines = new Map<EndpointId, EngineModel>();
  #poisonCrashes = 0;

  constructor(clock: Clock, setup: Setup, rng: Rng, listener: FleetListener) {
    this.#clock = clock;
    this.#setup = setup;
    this.#listener = listener;
    for (const spec of setup.endpoints) this.#add(spec, rng.fork(spec.endpoint));
    for (const d of setup.disturbances) clock.setTimer(d.atMs, () => this.#disturb(d));
  }

  get(endpoint: EndpointId): EngineModel {
    return this.#engines.get(endpoint)!;
  }

  submit(endpoint: EndpointId, gen: GenerationId, job: Job, priority = 0): boolean {
    return this.get(endpoint).submit({
      gen,
      promptTokens: job.promptTokens,
      prefixes: job.prefixes,
      outputTokens: job.outputTokens,
      poison: job.poison,
      priority,
    });
  }

  counts(): EngineCounts {
    let preemptions = 0;
    let coldOverloads = 0;
    let crashes = 0;
    for (const { counts } of this.#engines.values()) {
      preemptions += counts.preemptions;
      coldOverloads += counts.coldOverloads;
      crashes += counts.crashes;
    }
    return { preemptions, coldOverloads, crashes, poisonCrashes: this.#poisonCrashes };
  }

  #add(spec: EndpointSpec, rng: Rng): void {
    const { endpoint } = spec;
    const engine = new EngineModel({
      clock: this.#clock,
      rng,
      options: spec.engine,
      listener: {
        onStep: (step) => this.#listener.onStep(endpoint, step),
        onFinish: (gen, finish) => this.#listener.onFinish(endpoint, gen, finish),
        onCrash: (reason) => {
          if (reason === "poison") this.#poisonCrashes++;
          this.#listener.onCrash(endpoint);
          this.#clock.setTimer(this.#setup.restartMs, () => this.#restart(endpoint));
        },
      },
    });
    this.#engines.set(endpoint, engine);
    this.#clock.setTimer(spec.joinsAtMs ?? 0, () => this.#listener.onJoin(spec));
  }

  #restart(endpoint: EndpointId): void {
    this.get(endpoint).restart();
    this.#listener.onRestart(endpoint);
  }

  #disturb(d: Disturbance): void {
    if (d.type === "turn_cold") this.get(d.endpoint).turnCold();
    else if (d.type === "kill") this.get(d.endpoint).crash();
    else if (d.type === "reclaim") {
      this.#listener.onDisturbance(d);
      this.#clock.setTimer(d.ms ?? 0, () => this.get(d.endpoint).crash());
    } else this.#listener.onDisturbance(d);
  }
}
