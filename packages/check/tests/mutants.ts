import type { Undo } from "@wisteriapick/core";
import { ConfigSource, type ConfigView } from "@wisteriapick/control";
import { ConfiguredVersionChooser } from "@wisteriapick/daemon";
import { HostList, type HostSnapshot } from "@wisteriapick/clients";
import { type AdmissionDecision, SideAdmission } from "@wisteriapick/policy";
import type { Message } from "@wisteriapick/wire";
import {
  type Fault,
  type FaultKind,
  type Overrides,
  type PromiseNumber,
  type RunPlan,
} from "../src/mod.ts";

/** Admits everything at once. */
class EagerAdmission extends SideAdmission {
  override offer(...args: Parameters<SideAdmission["offer"]>): AdmissionDecision {
    super.offer(...args);
    return { type: "start" };
  }
}

/** A configuration of which a view is altered on its way to the process. */
class AlteredConfig extends ConfigSource {
  readonly #source: ConfigSource;
  readonly #alter: (view: ConfigView) => ConfigView;

  constructor(source: ConfigSource, alter: (view: ConfigView) => ConfigView) {
    super();
    this.#source = source;
    this.#alter = alter;
  }

  current(): ConfigView {
    return this.#alter(this.#source.current());
  }

  ready(): boolean {
    return this.#source.ready();
  }

  registerListener(fn: (view: ConfigView) => void): Undo {
    return this.#source.registerListener((view) => fn(this.#alter(view)));
  }
}

/** Never says that a host is leaving. */
class StaleHostList extends HostList {
  readonly #hosts: HostList;

  constructor(hosts: HostList) {
    super();
    this.#hosts = hosts;
  }

  async read(): Promise<HostSnapshot> {
    const { index, hosts } = await this.#hosts.read();
    return { index, hosts: hosts.map((h) => ({ ...h, state: "live" })) };
  }
}

function ignoreOut(view: ConfigView): ConfigView {
  const dataCentres = new Map(view.dataCentres);
  for (const [id, dc] of dataCentres) dataCentres.set(id, { ...dc, state: "in" });
  return { ...view, dataCentres };
}

/** Puts revision 1 in force and nothing after it. */
function makeFreezer(): (view: ConfigView) => ConfigView {
  let first: ConfigView | null = null;
  return (view) => {
    if (first === null && view.revision > 0) first = view;
    return first ?? view;
  };
}

/** Says "not run" of every answer that has begun. */
function denyRun(_opening: Message, msg: Message): Message {
  if (msg.kind === "end" || msg.kind === "reply_head") {
    return { kind: "not_run", reason: "overloaded", load: msg.load, about: msg.about };
  }
  return msg;
}

function makePlan(kind: FaultKind | null, options: Partial<RunPlan & Fault> = {}): RunPlan {
  const { seed = 5, coldStart, move, atMs = 1_000, durationMs = 8_000, target = 0 } = options;
  const faults = kind === null ? [] : [{ kind, atMs, durationMs, target }];
  return { seed, faults, coldStart, move };
}

/** Ends every engine's side at once, so that running generations are resumed at their engines. */
function makeKillPlan(): RunPlan {
  const kill = { kind: "kill_side", atMs: 6_000, durationMs: 300 } as const;
  return { seed: 5, faults: [0, 1, 2, 3, 4, 5].map((target) => ({ ...kill, target })) };
}

/** The system broken in one place, with a plan in which that shows. */
export interface Mutant {
  readonly name: string;
  readonly promise: PromiseNumber;
  readonly plan: RunPlan;
  readonly overrides: Overrides;
}

/** One mutant for each promise. */
export const MUTANTS: readonly Mutant[] = [
  {
    name: "an engine that resumes with other tokens",
    promise: 1,
    plan: makeKillPlan(),
    overrides: { tamperToken: (_offset, text, resumed) => resumed ? `${text}x` : text },
  },
  {
    name: "a side that admits everything",
    promise: 2,
    plan: makePlan(null, { coldStart: true }),
    overrides: { makeAdmission: () => new EagerAdmission() },
  },
  {
    name: "processes that overlook that a data centre is out",
    promise: 3,
    plan: makePlan("data_centre_out"),
    overrides: { wrapConfig: (source) => new AlteredConfig(source, ignoreOut) },
  },
  {
    name: "entries that share by the configuration alone after a move's deadline",
    promise: 4,
    plan: makePlan("store_outage", { move: "good", atMs: 1_000, durationMs: 60_000 }),
    overrides: { versions: new ConfiguredVersionChooser() },
  },
  {
    name: "an answer that loses a token",
    promise: 5,
    plan: makePlan(null),
    overrides: { tamperToken: (offset, text) => offset === 1 ? "" : text },
  },
  {
    name: "an entry that takes a finished answer for a refusal",
    promise: 6,
    plan: makePlan(null, { coldStart: true }),
    overrides: { tamper: denyRun },
  },
  {
    name: "an entry that sends an answered order again",
    promise: 7,
    plan: makePlan(null),
    overrides: { tamper: denyRun },
  },
  {
    name: "processes that never hear of a leaving host",
    promise: 8,
    plan: makePlan("host_leaving"),
    overrides: { wrapHosts: (hosts) => new StaleHostList(hosts) },
  },
  {
    name: "an entry that ends a planned stop at once",
    promise: 9,
    plan: makePlan("stop_entry", { atMs: 4_000 }),
    overrides: { entryWaitsForRequests: false },
  },
  {
    name: "a process that keeps the first configuration it got",
    promise: 10,
    plan: makePlan("data_centre_out"),
    overrides: { wrapConfig: (source) => new AlteredConfig(source, makeFreezer()) },
  },
];
