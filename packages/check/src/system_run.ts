/**
 * One run of a plan: the real entry and side code on an injected clock, under load and faults.
 *
 * @module
 */
import {
  dataCentreId,
  endpointId,
  hostId,
  ManualClock,
  regionId,
  requestId,
  Rng,
  versionId,
} from "@wisteriapick/core";
import { MemoryHostList, MemoryObjectStore, type VersionBehaviour } from "@wisteriapick/standins";
import { Callers } from "./caller.ts";
import { CHECK_MODEL_SERVICE, CHECK_PLAIN_SERVICE, CheckOperator } from "./check_config.ts";
import { CheckEntry } from "./check_entry.ts";
import { CheckSide } from "./check_side.ts";
import { type Overrides, RunContext } from "./context.ts";
import { type Fault, LOAD_MS, type MoveKind, type RunPlan } from "./faults.ts";
import { type HistoryEvent, Recorder } from "./history.ts";
import { POISON_WORD } from "./memory_engine.ts";
import { MemoryNetwork } from "./memory_network.ts";

const DATA_CENTRES = ["accra-osu", "accra-tema"].map(dataCentreId);
const ENGINE_COUNT = 6;
const PLAIN_SERVICE_COUNT = 3;
/** Number of engines that run the new version of a move. */
const NEW_VERSION_ENGINE_COUNT = 2;
/** Time after which an open move is taken back; the move starts with the load. */
const MOVE_DEADLINE_MS = 12_000;
const VERSION_BEHAVIOURS: Readonly<Record<MoveKind, VersionBehaviour | undefined>> = {
  none: undefined,
  good: undefined,
  failing: { failShare: 0.9 },
  failing_later: { failShare: 0.9, afterMs: 6_000 },
};
const ENTRY_COUNT = 3;
/** Time before the load in which processes start and endpoints become ready. */
const STARTUP_MS = 3_000;
/** Time after the load in which faults end, requests end and configuration reaches all processes. */
const SETTLE_MS = 25_000;
/** Number of requests of a `poison_series`. */
const POISON_SERIES_LENGTH = 10;
/** Step of the clock after the load; the step under load is 1 ms. JavaScript promises settle once per step. */
const SETTLE_STEP_MS = 5;
const REQUEST_INTERVAL_MS = 200;
const ORDER_INTERVAL_MS = 500;
const RESTART_DELAY_MS = 500;
/** Added to the time that a data centre or host is out, so that work that starts too late shows. */
const EXTRA_OUT_MS = 6_000;

/** Lets pending JavaScript promises settle. Two turns, as work batched for the end of one turn can start more work. */
async function drainTasks(): Promise<void> {
  await new Promise(setImmediate);
  await new Promise(setImmediate);
}

/** Sets up the processes of a run, executes its plan and records the history. */
export class SystemRun {
  readonly #plan: RunPlan;
  readonly #ctx: RunContext;
  readonly #operator: CheckOperator;
  readonly #sides: CheckSide[];
  readonly #entries: CheckEntry[];
  readonly #callers: Callers;
  #requests = 0;

  constructor(plan: RunPlan, overrides: Overrides = {}) {
    this.#plan = plan;
    const clock = new ManualClock();
    const rng = new Rng(plan.seed);
    this.#ctx = new RunContext({
      clock,
      rng,
      recorder: new Recorder(),
      network: new MemoryNetwork({ clock, rng: rng.fork("network") }),
      store: new MemoryObjectStore({ clock }),
      hosts: new MemoryHostList({ clock }),
      overrides: { ...overrides, engine: { startsCold: plan.coldStart, ...overrides.engine } },
    });
    const ctx = this.#ctx;
    this.#operator = new CheckOperator(ctx);
    const { move = "none" } = plan;
    const newEngines = move === "none" ? 0 : NEW_VERSION_ENGINE_COUNT;
    this.#sides = Array.from(
      { length: ENGINE_COUNT + PLAIN_SERVICE_COUNT + newEngines },
      (_, i) => {
        const isNew = i >= ENGINE_COUNT + PLAIN_SERVICE_COUNT;
        const service = i < ENGINE_COUNT || isNew ? CHECK_MODEL_SERVICE : CHECK_PLAIN_SERVICE;
        return new CheckSide(ctx, {
          endpoint: endpointId(`${service}-${i}`),
          service,
          version: versionId(isNew ? "v2" : "v1"),
          dataCentre: DATA_CENTRES[i % DATA_CENTRES.length]!,
          address: `10.0.0.${i + 1}:7000`,
          behaviour: isNew ? VERSION_BEHAVIOURS[move] : undefined,
        });
      },
    );
    this.#entries = Array.from({ length: ENTRY_COUNT }, (_, i) => {
      const dataCentre = DATA_CENTRES[i % DATA_CENTRES.length]!;
      return new CheckEntry(ctx, {
        name: `entry-${i}`,
        dataCentre,
        address: `10.0.1.${i + 1}:7000`,
      });
    });
    this.#callers = new Callers(ctx, this.#entries);
  }

  /** Runs the plan and returns the history. */
  async execute(): Promise<readonly HistoryEvent[]> {
    await this.#setUp();
    await this.#advance(STARTUP_MS);
    const { clock } = this.#ctx;
    for (const fault of this.#plan.faults) clock.setTimer(fault.atMs, () => this.#inject(fault));
    if ((this.#plan.move ?? "none") !== "none") this.#openMove();
    const stopLoad = clock.setRepeating(REQUEST_INTERVAL_MS, () => this.#sendRequest());
    const stopOrders = clock.setRepeating(ORDER_INTERVAL_MS, () => this.#sendOrder());
    await this.#advance(LOAD_MS);
    stopLoad();
    stopOrders();
    await this.#advance(SETTLE_MS, SETTLE_STEP_MS);
    return this.#ctx.recorder.events;
  }

  async #setUp(): Promise<void> {
    const ready = this.#operator.setUp(DATA_CENTRES);
    await this.#advance(50);
    await ready;
    for (const side of this.#sides) {
      this.#listHost(side, "live");
    }
    for (const entry of this.#entries) {
      const { name, dataCentre, address } = entry.options;
      const region = regionId("accra");
      this.#ctx.hosts.set({
        host: hostId(name),
        dataCentre,
        region,
        state: "live",
        entry: address,
      });
    }
    for (const process of [...this.#sides, ...this.#entries]) process.start();
  }

  #listHost(side: CheckSide, state: "live" | "leaving"): void {
    const { endpoint, service, dataCentre, address } = side.options;
    this.#ctx.hosts.set({
      host: hostId(`h-${endpoint}`),
      dataCentre,
      region: regionId("accra"),
      state,
      side: address,
      endpoint: { id: endpoint, service, address },
    });
  }

  #setLeaving(side: CheckSide, isLeaving: boolean): void {
    const { clock, recorder } = this.#ctx;
    const { endpoint } = side.options;
    const type = isLeaving ? "endpoint_leaving" : "endpoint_returned";
    recorder.record({ atMs: clock.now(), type, endpoint });
    this.#listHost(side, isLeaving ? "leaving" : "live");
  }

  /** Advances the clock in steps and lets JavaScript promises settle between them. */
  async #advance(ms: number, stepMs = 1): Promise<void> {
    const { clock } = this.#ctx;
    const until = clock.now() + ms;
    while (clock.now() < until) {
      await drainTasks();
      clock.advance(Math.min(stepMs, until - clock.now()));
    }
    await drainTasks();
  }

  /** Opens the move. If it isn't finished by its deadline, it is taken back by rule, which counts as a bad verdict. */
  #openMove(): void {
    const { clock, recorder } = this.#ctx;
    void this.#operator.openMove(clock.wall() + MOVE_DEADLINE_MS);
    clock.setTimer(MOVE_DEADLINE_MS, () => {
      const move = this.#operator.lastMove();
      if (move === null || move.state === "finished") return;
      const { service, to, id } = move;
      recorder.record({
        atMs: clock.now(),
        type: "version_verdict",
        service,
        version: to,
        move: id,
      });
    });
  }

  #sendRequest(): void {
    const { rng } = this.#ctx;
    const req = requestId(`r${++this.#requests}`);
    const tokens = rng.chance(0.3) ? 200 + rng.int(300) : 2 + rng.int(40);
    const prompt = `req=${req} [tokens=${tokens}]`;
    void this.#callers.send({ kind: "generation", req, prompt, streamed: rng.chance(0.7) });
  }

  #sendOrder(): void {
    const req = requestId(`o${++this.#requests}`);
    void this.#callers.send({ kind: "order", req, keyed: this.#ctx.rng.chance(0.5) });
  }

  #inject(fault: Fault): void {
    const side = this.#sides[fault.target % this.#sides.length]!;
    const entry = this.#entries[fault.target % this.#entries.length]!;
    const { clock, network, store } = this.#ctx;
    const afterDuration = (fn: () => void) => clock.setTimer(fault.durationMs, fn);
    const afterExtendedOutage = (fn: () => void) =>
      clock.setTimer(fault.durationMs + EXTRA_OUT_MS, fn);
    switch (fault.kind) {
      case "kill_side":
        side.kill();
        return void afterDuration(() => side.start());
      case "pause_side":
        side.pause();
        return void afterDuration(() => side.resume());
      case "kill_entry":
        entry.kill();
        return void afterDuration(() => entry.start());
      case "pause_entry":
        entry.pause();
        return void afterDuration(() => entry.resume());
      case "stop_entry":
        return void entry.stop().then(() => clock.setTimer(RESTART_DELAY_MS, () => entry.start()));
      case "stop_side":
        return void side.stop().then(() => clock.setTimer(RESTART_DELAY_MS, () => side.start()));
      case "crash_endpoint":
        side.crashEndpoint();
        return void afterDuration(() => side.restartEndpoint());
      case "stall_engine":
        return side.engine?.model.stall(fault.durationMs);
      case "turn_cold":
        return side.engine?.model.turnCold();
      case "silence_links":
        if (side.process !== null) network.silence(side.process);
        return;
      case "slow_links":
        network.setExtraDelay(Math.min(fault.durationMs, 400));
        return void afterDuration(() => network.setExtraDelay(0));
      case "duplicate_messages":
        network.setDuplicating(true);
        return void afterDuration(() => network.setDuplicating(false));
      case "cross_messages":
        network.setMisrouting(true);
        return void afterDuration(() => network.setMisrouting(false));
      case "store_outage":
        store.setFaults({ outage: true });
        return void afterDuration(() => store.setFaults({ outage: false }));
      case "store_slow":
        store.setFaults({ slowMs: 300 });
        return void afterDuration(() => store.setFaults({ slowMs: 0 }));
      case "lose_store_answers":
        return store.setFaults({ loseAnswers: 2 });
      case "data_centre_out": {
        const dataCentre = side.options.dataCentre;
        void this.#operator.setDataCentre(dataCentre, "out");
        return void afterExtendedOutage(() => void this.#operator.setDataCentre(dataCentre, "in"));
      }
      case "host_leaving":
        this.#setLeaving(side, true);
        return void afterExtendedOutage(() => this.#setLeaving(side, false));
      case "poison_series":
        for (let i = 0; i < POISON_SERIES_LENGTH; i++) {
          clock.setTimer(i * fault.durationMs / POISON_SERIES_LENGTH, () => {
            const req = requestId(`p${++this.#requests}`);
            const prompt = `${POISON_WORD} req=${req} [tokens=50] text of ${req}`;
            void this.#callers.send({ kind: "generation", req, prompt, streamed: true });
          });
        }
        return;
      case "poison": {
        const req = requestId(`p${++this.#requests}`);
        const prompt = `req=${req} [tokens=50] ${POISON_WORD}`;
        return void this.#callers.send({ kind: "generation", req, prompt, streamed: true });
      }
    }
  }
}
