import {
  accountId,
  type Clock,
  dataCentreId,
  endpointId,
  ManualClock,
  moveId,
  raise,
  regionId,
  Rng,
  serviceId,
  versionId,
} from "@wisteriapick/core";
import {
  ObjectStore,
  type StoredObject,
  type StoreEvent,
  type StoreListing,
  type WatchResult,
} from "@wisteriapick/clients";
import { type Change, type ChangeNote, ChangeSchema, ConfigLog } from "../src/mod.ts";

/** Fault of the next write: lost before or after it took effect, or rejected as unavailable. */
export type WriteFault = "lost_after" | "lost_before" | "unavailable";

/** An in-memory object store whose faults are set by the test. */
export class MemoryStore extends ObjectStore {
  readonly objects = new Map<string, StoredObject>();
  readonly events: StoreEvent[] = [];
  readonly writeFaults: WriteFault[] = [];
  readonly waiting = new Set<() => void>();
  up = true;
  reads = 0;
  writes = 0;
  /** Called before each write takes effect, so that a test can run another writer in between. */
  beforeWrite: (key: string) => Promise<void> = () => Promise.resolve();
  #index = 0;

  constructor(readonly clock: Clock = new ManualClock()) {
    super();
  }

  #check(): void {
    if (!this.up) raise({ type: "store_unavailable", message: "down" });
  }

  async get(key: string): Promise<StoredObject | null> {
    this.reads++;
    this.#check();
    return this.objects.get(key) ?? null;
  }

  async list(
    prefix: string,
    { after = "", limit = 1000 }: { after?: string; limit?: number } = {},
  ): Promise<StoreListing> {
    this.reads++;
    this.#check();
    const keys = [...this.objects.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
    return { index: this.#index, objects: keys.slice(0, limit).map((k) => this.objects.get(k)!) };
  }

  async put(key: string, value: Uint8Array, { ifVersion }: { ifVersion: number }): Promise<number> {
    this.writes++;
    await this.beforeWrite(key);
    this.#check();
    const fault = this.writeFaults.shift();
    if (fault === "unavailable") raise({ type: "store_unavailable", message: "down" });
    if (fault === "lost_before") raise({ type: "store_outcome_unknown", message: "lost" });
    const now = this.objects.get(key)?.version ?? 0;
    if (now !== ifVersion) {
      raise({ type: "store_conflict", message: key, currentVersion: now === 0 ? null : now });
    }
    this.#change(key, now + 1, value);
    if (fault === "lost_after") raise({ type: "store_outcome_unknown", message: "lost" });
    return now + 1;
  }

  async delete(key: string, { ifVersion }: { ifVersion: number }): Promise<void> {
    this.writes++;
    this.#check();
    const now = this.objects.get(key)?.version ?? 0;
    if (now !== ifVersion) raise({ type: "store_conflict", message: key, currentVersion: now });
    this.#change(key, now, null);
  }

  #change(key: string, version: number, value: Uint8Array | null): void {
    if (value === null) this.objects.delete(key);
    else this.objects.set(key, { key, version, value });
    this.events.push({ index: ++this.#index, key, version, value });
    for (const wake of [...this.waiting]) wake();
  }

  async watch(
    prefix: string,
    { index, waitMs = 500, signal }: { index: number; waitMs?: number; signal?: AbortSignal },
  ): Promise<WatchResult> {
    this.reads++;
    this.#check();
    const find = () => this.events.filter((e) => e.index > index && e.key.startsWith(prefix));
    if (find().length === 0) {
      await new Promise<void>((resolve) => {
        const finish = () => {
          undo();
          this.waiting.delete(wake);
          resolve();
        };
        const wake = () => find().length > 0 && finish();
        const undo = this.clock.setTimer(waitMs, finish);
        this.waiting.add(wake);
        signal?.addEventListener("abort", finish);
      });
    }
    this.#check();
    return { index: this.#index, events: find(), gap: false };
  }
}

/** Lets promise callbacks run. */
export async function settle(rounds = 20): Promise<void> {
  for (let i = 0; i < rounds; i++) await new Promise((resolve) => setImmediate(resolve));
}

/** Advances a manual clock in steps, letting promise callbacks run after each. */
export async function run(clock: ManualClock, ms: number, step = 100): Promise<void> {
  for (let t = 0; t < ms; t += step) {
    clock.advance(step);
    await settle(3);
  }
}

/** Advances the clock until the promise has settled. */
export async function runUntilDone<T>(clock: ManualClock, work: Promise<T>): Promise<T> {
  let finish = false;
  const mark = () => void (finish = true);
  work.then(mark, mark);
  for (let i = 0; i < 2_000 && !finish; i++) await run(clock, 100);
  return work;
}

export function makeLog(store: ObjectStore, clock: Clock, seed = 1): ConfigLog {
  return new ConfigLog(store, clock, new Rng(seed));
}

export function note(who = "ama"): ChangeNote {
  return { who, atMs: 0, why: "test" };
}

export function putAccount(id: string): Change {
  return ChangeSchema.parse({ type: "put_account", account: { id: accountId(id) } });
}

export const SCRIBE = serviceId("scribe");
export const V1 = versionId("v1");
export const V2 = versionId("v2");
export const TEMA = dataCentreId("accra-tema");
export const MOVE = moveId("scribe-v1-v2");

/** Three data centres and the service `scribe` with versions v1 (active) and v2. */
export function baseChanges(endpoints = 6): Change[] {
  const centres = ["accra-osu", "accra-tema", "accra-legon"];
  const region = regionId("accra");
  const service = {
    id: SCRIBE,
    kind: "model",
    versions: [{ id: V1 }, { id: V2 }],
    activeVersion: V1,
  };
  const raw: unknown[] = [
    ...centres.map((id) => ({ type: "put_data_centre", dataCentre: { id, region } })),
    { type: "put_service", service },
  ];
  for (let i = 0; i < endpoints; i++) {
    const endpoint = { id: endpointId(`scribe-${i}`), service: SCRIBE, version: V1 };
    raw.push({ type: "put_endpoint", endpoint });
  }
  return raw.map((r) => ChangeSchema.parse(r));
}

/** An open move of `scribe` from v1 to v2. Times are Unix ms. */
export function openMove({ startMs = 0, deadlineMs = 3_600_000, share = 0.01 } = {}): Change {
  const move = { id: MOVE, service: SCRIBE, from: V1, to: V2, startMs, deadlineMs, share };
  return ChangeSchema.parse({ type: "open_move", move: { ...move, state: "open" } });
}

/** Writes changes as one entry. */
export function write(log: ConfigLog, id: string, changes: readonly Change[]): Promise<number> {
  return log.append({ id, note: note(), build: () => changes });
}
