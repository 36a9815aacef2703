/**
 * One run: the real entry and side code on an injected clock, under load and faults.
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

const CENTRES = ["accra-osu", "accra-tema"].map(dataCentreId);
const ENGINES = 6;
const PLAIN_SERVICES = 3;
/** Engines of the version that a move goes to. */
const NEW_ENGINES = 2;
/** Time allowed for a move; it begins with the load. */
const MOVE_MS = 12_000;
const BEHAVIOURS: Readonly<Record<MoveKind, VersionBehaviour | undefined>> = {
  none: undefined,
  good: undefined,
  failing: { failShare: 0.9 },
  failing_later: { failShare: 0.9, afterMs: 6_000 },
};
const ENTRIES = 3;
/** Time for processes to start and endpoints to become ready before the load. */
const START_MS = 3_000;
/** Time after the load and all faults for requests to end and configuration to arrive. */
const SETTLE_MS = 25_000;
/** Promises settle this often while nothing new begins; every step under load is 1 ms. */
const SETTLE_STEP_MS = 5;
const REQUEST_EVERY_MS = 200;
const ORDER_EVERY_MS = 500;
const RESTART_MS = 500;
/** Added to the time that a data centre or host is out, so that late work would show. */
const OUT_MIN_MS = 6_000;

/** Lets every promise that can settle do so. Two turns: work batched for the end of one turn starts more. */
async function drainTasks(): Promise<void> {
  await new Promise(setImmediate);
  await new Promise(setImmediate);
}

/** See the module comment. */
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
    const newEngines = move === "none" ? 0 : NEW_ENGINES;
    this.#sides = Array.from({ length: ENGINES + PLAIN_SERVICES + newEngines }, (_, i) => {
      const isNew = i >= ENGINES + PLAIN_SERVICES;
      const service = i < ENGINES || isNew ? CHECK_MODEL_SERVICE : CHECK_PLAIN_SERVICE;
      return new CheckSide(ctx, {
        endpoint: endpointId(`${service}-${i}`),
        service,
        version: versionId(isNew ? "v2" : "v1"),
        dataCentre: CENTRES[i % CENTRES.length]!,
        address: `10.0.0.${i + 1}:7000`,
        behaviour: isNew ? BEHAVIOURS[move] : undefined,
      });
    });
    this.#entries = Array.from({ length: ENTRIES }, (_, i) => {
      const dataCentre = CENTRES[i % CENTRES.length]!;
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
    await this.#advance(START_MS);
    const { clock } = this.#ctx;
    for (const fault of this.#plan.faults) clock.setTimer(fault.atMs, () => this.#inject(fault));
    if ((this.#plan.move ?? "none") !== "none") this.#openMove();
    const stopLoad = clock.setRepeating(REQUEST_EVERY_MS, () => this.#sendRequest());
    const stopOrders = clock.setRepeating(ORDER_EVERY_MS, () => this.#sendOrder());
    await this.#advance(LOAD_MS);
    stopLoad();
    stopOrders();
    await this.#advance(SETTLE_MS, SETTLE_STEP_MS);
    return this.#ctx.recorder.events;
  }

  async #setUp(): Promise<void> {
    const ready = this.#operator.setUp(CENTRES);
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

  #leave(side: CheckSide, leaving: boolean): void {
    const { clock, recorder } = this.#ctx;
    const { endpoint } = side.options;
    const type = leaving ? "endpoint_leaving" : "endpoint_returned";
    recorder.record({ atMs: clock.now(), type, endpoint });
    this.#listHost(side, leaving ? "leaving" : "live");
  }

  /** Moves the clock, letting promises settle between any two times at which something happens. */
  async #advance(ms: number, stepMs = 1): Promise<void> {
    const { clock } = this.#ctx;
    const until = clock.now() + ms;
    while (clock.now() < until) {
      await drainTasks();
      clock.advance(Math.min(stepMs, until - clock.now()));
    }
    await drainTasks();
  }

  /** Opens the move. At its deadline it is taken back by rule, unless it was finished before. */
  #openMove(): void {
    const { clock, recorder } = this.#ctx;
    void this.#operator.openMove(clock.wall() + MOVE_MS);
    clock.setTimer(MOVE_MS, () => {
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
    const later = (fn: () => void) => clock.setTimer(fault.durationMs, fn);
    const outLater = (fn: () => void) => clock.setTimer(fault.durationMs + OUT_MIN_MS, fn);
    switch (fault.kind) {
      case "kill_side":
        side.kill();
        return void later(() => side.start());
      case "pause_side":
        side.pause();
        return void later(() => side.resume());
      case "kill_entry":
        entry.kill();
        return void later(() => entry.start());
      case "pause_entry":
        entry.pause();
        return void later(() => entry.resume());
      case "stop_entry":
        return void entry.stop().then(() => clock.setTimer(RESTART_MS, () => entry.start()));
      case "stop_side":
        return void side.stop().then(() => clock.setTimer(RESTART_MS, () => side.start()));
      case "crash_endpoint":
        side.crashEndpoint();
        return void later(() => side.restartEndpoint());
      case "stall_engine":
        return side.engine?.model.stall(fault.durationMs);
      case "turn_cold":
        return side.engine?.model.turnCold();
      case "silence_links":
        if (side.process !== null) network.silence(side.process);
        return;
      case "slow_links":
        network.setExtraDelay(Math.min(fault.durationMs, 400));
        return void later(() => network.setExtraDelay(0));
      case "duplicate_messages":
        network.setDuplicates(true);
        return void later(() => network.setDuplicates(false));
      case "cross_messages":
        network.setCrossing(true);
        return void later(() => network.setCrossing(false));
      case "store_outage":
        store.setFaults({ outage: true });
        return void later(() => store.setFaults({ outage: false }));
      case "store_slow":
        store.setFaults({ slowMs: 300 });
        return void later(() => store.setFaults({ slowMs: 0 }));
      case "lose_store_answers":
        return store.setFaults({ loseAnswers: 2 });
      case "data_centre_out": {
        const centre = side.options.dataCentre;
        void this.#operator.setDataCentre(centre, "out");
        return void outLater(() => void this.#operator.setDataCentre(centre, "in"));
      }
      case "host_leaving":
        this.#leave(side, true);
        return void outLater(() => this.#leave(side, false));
      case "poison": {
        const req = requestId(`p${++this.#requests}`);
        const prompt = `req=${req} [tokens=50] ${POISON_WORD}`;
        return void this.#callers.send({ kind: "generation", req, prompt, streamed: true });
      }
    }
  }
}
