/**
 * The configuration log in the object API. Change N is accepted exactly when the object of entry N has been
 * created by a conditional create.
 *
 * @module
 */
import {
  type Clock,
  raise,
  type Revision,
  revision,
  type Rng,
  toWpError,
  WpFailure,
} from "@wisteriapick/core";
import type { ObjectStore } from "@wisteriapick/clients";
import { applyChanges, type Change } from "./changes.ts";
import { ConfigState } from "./config_state.ts";
import { type ChangeNote, decodeEntry, encodeEntry, type LogEntry } from "./log_entry.ts";
import { SnapshotStore } from "./snapshot_store.ts";
import { type RetryOptions, withRetry } from "./store_calls.ts";

export const LOG_PREFIX = "config/log/";
/** Entries read per call while catching up. */
const LIST_LIMIT = 256;
/** A writer idle for longer than this might be behind the deleted part of the log and checks it. */
const RECHECK_AFTER_MS = 600_000;

/** An entry must fit into one object and into one push between processes. */
const MAX_ENTRY_BYTES = 900_000;

function requireSize(bytes: Uint8Array): void {
  if (bytes.length <= MAX_ENTRY_BYTES) return;
  const message = `the change has ${bytes.length} bytes, more than ${MAX_ENTRY_BYTES}: split it`;
  raise({ type: "invalid_change", message });
}

/** Key of entry `r`. Padded, so that listings are in the order of revisions. */
export function logKey(r: Revision): string {
  return LOG_PREFIX + String(r).padStart(12, "0");
}

/** What a writer says about a change. `id` makes repeating the call harmless. */
export interface AppendRequest {
  readonly id: string;
  readonly note: ChangeNote;
  /** Called with the newest configuration each time the write is tried; raises to give up. */
  readonly build: (state: ConfigState) => readonly Change[];
  /** Called before each attempt of the write, which may come seconds after `build`; raises to give up. */
  readonly beforeAttempt?: () => void;
}

/** Options of {@link ConfigLog}. */
export interface ConfigLogOptions {
  /** State to keep up to date; a new one by default. */
  readonly state?: ConfigState;
  readonly retry?: RetryOptions;
  /** Called when a change of this writer was accepted and is in its state. */
  readonly onAccepted?: (entry: LogEntry) => void;
}

/** Reads and extends the log. Every process that changes the configuration has its own instance. */
export class ConfigLog {
  readonly state: ConfigState;
  readonly #store: ObjectStore;
  readonly #clock: Clock;
  readonly #rng: Rng;
  readonly #snapshots: SnapshotStore;
  readonly #retry: RetryOptions;
  readonly #onAccepted: (entry: LogEntry) => void;

  constructor(
    store: ObjectStore,
    clock: Clock,
    rng: Rng,
    { state, retry = {}, onAccepted = () => {} }: ConfigLogOptions = {},
  ) {
    this.#onAccepted = onAccepted;
    this.state = state ?? new ConfigState(clock);
    this.#store = store;
    this.#clock = clock;
    this.#rng = rng;
    this.#snapshots = new SnapshotStore(store);
    this.#retry = retry;
  }

  /** Brings the state up to the newest accepted entry, and returns its revision. */
  async catchUp(): Promise<Revision> {
    const startedAt = this.#clock.now();
    await withRetry(() => this.#readRest(), this.#clock, this.#rng, this.#retry);
    this.state.recordProof(startedAt);
    return this.state.current().revision;
  }

  /**
   * Appends one entry and returns its revision when it is accepted. Raises `invalid_change`, whatever `build`
   * raises, `store_unavailable` when nothing was written, or `store_outcome_unknown` when the store did not
   * tell; calling again with the same id then gives the true answer.
   *
   * @example
   * ```ts
   * await log.append({
   *   id: "change-1",
   *   note: { who: "ama", atMs: clock.wall(), why: "new shop" },
   *   build: () => [{ type: "put_account", account }],
   * });
   * ```
   */
  async append(req: AppendRequest): Promise<Revision> {
    for (;;) {
      await this.catchUp();
      const known = this.state.revisionOfChange(req.id);
      if (known !== null) return known;
      const accepted = await this.#tryOnce(req);
      if (accepted !== null) return accepted;
    }
  }

  async #tryOnce(req: AppendRequest): Promise<Revision | null> {
    const changes = req.build(this.state);
    const base = this.state.current();
    applyChanges(base, changes);
    const next = revision(base.revision + 1);
    const entry: LogEntry = { revision: next, id: req.id, note: req.note, changes: [...changes] };
    const encoded = encodeEntry(entry);
    requireSize(encoded.bytes);
    const startedAt = this.#clock.now();
    const outcome = await this.#create(next, encoded.bytes, req);
    if (outcome === "taken") return null;
    if (this.#clock.now() - startedAt > RECHECK_AFTER_MS) await this.#requireNotTrimmed(next);
    // The decoded form, so that every process holds exactly what the bytes say.
    this.state.applyEntry(decodeEntry(encoded.bytes));
    this.#onAccepted(entry);
    await this.#snapshots.writeIfDue(this.state.current()).catch(() => {});
    return next;
  }

  /**
   * Creates entry `r`. After a lost answer the same create is tried again: it can only take effect once, and
   * as soon as the key is taken its change id tells whose write it was.
   */
  async #create(
    r: Revision,
    bytes: Uint8Array,
    { id, beforeAttempt }: AppendRequest,
  ): Promise<"accepted" | "taken"> {
    let unknown = false;
    const attempt = async (): Promise<"accepted" | "taken"> => {
      beforeAttempt?.();
      try {
        await this.#store.put(logKey(r), bytes, { ifVersion: 0 });
        return "accepted";
      } catch (e) {
        const err = toWpError(e);
        if (err.type !== "store_conflict") {
          if (err.type === "store_outcome_unknown") unknown = true;
          throw e;
        }
        const found = await this.#store.get(logKey(r));
        if (found === null) return "taken";
        return decodeEntry(found.value).entry.id === id ? "accepted" : "taken";
      }
    };
    try {
      return await withRetry(attempt, this.#clock, this.#rng, this.#retry);
    } catch (e) {
      if (!unknown) throw e;
      throw new WpFailure({
        type: "store_outcome_unknown",
        message: `the store did not tell whether change ${id} was accepted as revision ${r}`,
      }, { cause: e });
    }
  }

  /** A create that was held up for long may land behind the deleted part of the log, where it is void. */
  async #requireNotTrimmed(r: Revision): Promise<void> {
    const pointer = await this.#snapshots.pointer();
    if (pointer === null || pointer.revision <= r) return;
    const after = await this.#store.get(logKey(revision(r + 1)));
    if (after !== null) return;
    const late = await this.#store.get(logKey(r));
    if (late !== null) await this.#store.delete(logKey(r), { ifVersion: late.version });
    raise({ type: "store_conflict", message: `revision ${r} is long past`, currentVersion: null });
  }

  async #readRest(): Promise<void> {
    if (this.state.current().revision === 0) await this.#readSnapshot();
    for (;;) {
      const full = await this.#readPage();
      if (!full) return;
    }
  }

  async #readSnapshot(): Promise<void> {
    const bytes = await this.#snapshots.readNewest();
    if (bytes !== null) this.state.applySnapshot(bytes);
  }

  /** Reads one page and says whether there may be more. */
  async #readPage(): Promise<boolean> {
    const after = logKey(this.state.current().revision);
    const page = await this.#store.list(LOG_PREFIX, { after, limit: LIST_LIMIT });
    for (const obj of page.objects) {
      if (!this.state.applyEntry(decodeEntry(obj.value))) {
        // The entries in between were deleted: only a snapshot leads on.
        await this.#readSnapshot();
        return true;
      }
    }
    return page.objects.length === LIST_LIMIT;
  }

  /** Entries from `from` on, oldest first, as the history of who changed what, when and why. */
  async history(from: Revision, limit = LIST_LIMIT): Promise<readonly LogEntry[]> {
    const after = from === 0 ? "" : logKey(revision(from - 1));
    const page = await withRetry(
      () => this.#store.list(LOG_PREFIX, { after, limit }),
      this.#clock,
      this.#rng,
      this.#retry,
    );
    return page.objects.map((obj) => decodeEntry(obj.value).entry);
  }
}
