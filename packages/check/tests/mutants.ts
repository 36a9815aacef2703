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
  type PropertyNumber,
  type RunPlan,
} from "../src/mod.ts";

/** Admits every request at once. */
class UnlimitedAdmission extends SideAdmission {
  override offer(...args: Parameters<SideAdmission["offer"]>): AdmissionDecision {
    super.offer(...args);
    return { type: "start" };
  }
}

/** A configuration source that alters each view before the process receives it. */
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

/** A host list that reports every host as live, also one that is leaving. */
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

/** Returns a function that replaces every view by the first one with a revision. */
function makeRevisionPin(): (view: ConfigView) => ConfigView {
  let first: ConfigView | null = null;
  return (view) => {
    if (first === null && view.revision > 0) first = view;
    return first ?? view;
  };
}

/** Replaces the head or the end of a response by a "not run". */
function replaceByNotRun(_opening: Message, msg: Message): Message {
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

/** Kills the sides of all engines at once, so that running generations are resumed at their engines. */
function makeKillPlan(): RunPlan {
  const kill = { kind: "kill_side", atMs: 6_000, durationMs: 300 } as const;
  return { seed: 5, faults: [0, 1, 2, 3, 4, 5].map((target) => ({ ...kill, target })) };
}

/** A change to the system that violates one property, and a plan that shows the violation. */
export interface Mutant {
  readonly name: string;
  readonly promise: PropertyNumber;
  readonly plan: RunPlan;
  readonly overrides: Overrides;
}

/** One mutant per property; a checker that reports none of these violations isn't effective. */
export const MUTANTS: readonly Mutant[] = [
  {
    name: "an engine that resumes with other tokens (token order)",
    promise: 1,
    plan: makeKillPlan(),
    overrides: { tamperToken: (_offset, text, resumed) => resumed ? `${text}x` : text },
  },
  {
    name: "a side that admits everything (cold-start limit)",
    promise: 2,
    plan: makePlan(null, { coldStart: true }),
    overrides: { makeAdmission: () => new UnlimitedAdmission() },
  },
  {
    name: "processes that ignore that a data centre is out (data centre out)",
    promise: 3,
    plan: makePlan("data_centre_out"),
    overrides: { wrapConfig: (source) => new AlteredConfig(source, ignoreOut) },
  },
  {
    name: "entries that apply the configured share after a move's deadline (bad version)",
    promise: 4,
    plan: makePlan("store_outage", { move: "good", atMs: 1_000, durationMs: 60_000 }),
    overrides: { versions: new ConfiguredVersionChooser() },
  },
  {
    name: "a response that loses a token (complete response)",
    promise: 5,
    plan: makePlan(null),
    overrides: { tamperToken: (offset, text) => offset === 1 ? "" : text },
  },
  {
    name: "an entry that takes a completed response for a refusal (truthful 'not run')",
    promise: 6,
    plan: makePlan(null, { coldStart: true }),
    overrides: { tamper: replaceByNotRun },
  },
  {
    name: "an entry that retries an answered order (at-most-once)",
    promise: 7,
    plan: makePlan(null),
    overrides: { tamper: replaceByNotRun },
  },
  {
    name: "processes that are never notified of a leaving host (leaving endpoint)",
    promise: 8,
    plan: makePlan("host_leaving"),
    overrides: { wrapHosts: (hosts) => new StaleHostList(hosts) },
  },
  {
    name: "an entry that ends a planned stop at once (planned stop)",
    promise: 9,
    plan: makePlan("stop_entry", { atMs: 4_000 }),
    overrides: { entryDrains: false },
  },
  {
    name: "a process that keeps its first configuration (configuration)",
    promise: 10,
    plan: makePlan("data_centre_out"),
    overrides: { wrapConfig: (source) => new AlteredConfig(source, makeRevisionPin()) },
  },
];
