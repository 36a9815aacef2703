/**
 * The configuration of a run, and the operator that changes it.
 *
 * @module
 */
import { createHash } from "node:crypto";
import {
  accountId,
  type DataCentreId,
  type ProcessId,
  type Revision,
  serviceId,
  type Undo,
  versionId,
} from "@wisteriapick/core";
import {
  type Change,
  ConfigDocumentSchema,
  ConfigLog,
  type ConfigSource,
  type ConfigView,
  type Move,
  MoveSchema,
} from "@wisteriapick/control";
import { hashKey } from "@wisteriapick/daemon";
import type { RunContext } from "./context.ts";

/** The model service of every run. */
export const CHECK_MODEL_SERVICE = serviceId("scribe");
/** The plain service of every run; its orders are not repeatable. */
export const CHECK_PLAIN_SERVICE = serviceId("counter");
/** The bearer key of the client account. */
export const CHECK_KEY = "check-key";
/** The client account of every run. */
export const CHECK_ACCOUNT = accountId("museum-shop");

/** Shorter than the time that a run allows its requests to end after the load (`SETTLE_MS`). */
const START_DEADLINE_MS = 10_000;
/** First share of the new version in a move; large enough that requests reach it in a run of some seconds. */
const INITIAL_SHARE = 0.4;

function digestOf(view: ConfigView): string {
  const states = [...view.dataCentres.values()].map((d) => `${d.id}=${d.state}/${d.sinceMs}`);
  const moves = [...view.moves.values()].map((m) => `${m.id}=${m.state}/${m.share}`);
  const text = [...states, ...moves, ...view.services.keys(), ...view.accounts.keys()].join(",");
  return createHash("sha256").update(text).digest("hex").slice(0, 12);
}

/** Records each revision that a process puts in force. */
export function recordRevisions(ctx: RunContext, process: ProcessId, config: ConfigSource): Undo {
  return config.registerListener((view) =>
    ctx.recorder.record({
      atMs: ctx.clock.now(),
      type: "revision_in_force",
      process,
      revision: view.revision,
      digest: digestOf(view),
    })
  );
}

/** Appends changes to the configuration log, as an operator's client does. */
export class CheckOperator {
  readonly #ctx: RunContext;
  readonly #log: ConfigLog;
  #changes = 0;

  constructor(ctx: RunContext) {
    this.#ctx = ctx;
    this.#log = new ConfigLog(ctx.store, ctx.clock, ctx.rng.fork("operator"));
  }

  /** Writes the configuration that the run starts with. */
  async setUp(dataCentres: readonly DataCentreId[]): Promise<void> {
    const doc = ConfigDocumentSchema.parse({
      services: [{
        id: CHECK_MODEL_SERVICE,
        kind: "model",
        versions: [{ id: "v1" }, { id: "v2" }],
        activeVersion: versionId("v1"),
        startDeadlineMs: START_DEADLINE_MS,
      }, {
        id: CHECK_PLAIN_SERVICE,
        kind: "plain",
        versions: [{ id: "v1" }],
        activeVersion: versionId("v1"),
        startDeadlineMs: START_DEADLINE_MS,
      }],
      accounts: [{ id: CHECK_ACCOUNT, keyHashes: [hashKey(CHECK_KEY)] }],
      dataCentres: dataCentres.map((id) => ({ id, region: "accra" })),
    });
    await this.apply([
      ...doc.services.map((service): Change => ({ type: "put_service", service })),
      ...doc.accounts.map((account): Change => ({ type: "put_account", account })),
      ...doc.dataCentres.map((dataCentre): Change => ({ type: "put_data_centre", dataCentre })),
    ]);
  }

  /** Sets the state of a data centre, if the store accepts the change. */
  async setDataCentre(id: DataCentreId, state: "in" | "out"): Promise<void> {
    const { clock, recorder } = this.#ctx;
    const change: Change = { type: "set_data_centre_state", id, state, atMs: clock.wall() };
    // Recorded before the change is written, as work may start once the change is in force at any process.
    if (state === "in") {
      recorder.record({ atMs: clock.now(), type: "data_centre_in", dataCentre: id });
    }
    const accepted = await this.apply([change]);
    if (state === "out" && accepted !== null) {
      recorder.record({ atMs: clock.now(), type: "data_centre_out", dataCentre: id });
    }
  }

  /** Opens a move of the model service from v1 to v2. */
  async openMove(deadlineMs: number): Promise<void> {
    const move = MoveSchema.parse({
      id: "scribe-v1-v2",
      service: CHECK_MODEL_SERVICE,
      from: "v1",
      to: "v2",
      startMs: this.#ctx.clock.wall(),
      deadlineMs,
      share: 0,
      state: "open",
    });
    await this.apply([
      { type: "open_move", move },
      { type: "advance_move", id: move.id, share: INITIAL_SHARE },
    ]);
  }

  /** The move in the operator's latest view of the configuration, or `null`. */
  lastMove(): Move | null {
    return [...this.#log.state.current().moves.values()][0] ?? null;
  }

  /** Appends one entry to the log. Resolves with its revision, or `null` if the append failed. */
  async apply(changes: readonly Change[]): Promise<Revision | null> {
    const { clock, recorder } = this.#ctx;
    const id = `change-${++this.#changes}`;
    const note = { who: "operator", atMs: clock.wall(), why: "run" };
    try {
      const revision = await this.#log.append({ id, note, build: () => changes });
      const digest = digestOf(this.#log.state.current());
      recorder.record({ atMs: clock.now(), type: "change_accepted", revision, digest });
      return revision;
    } catch {
      return null;
    }
  }
}
