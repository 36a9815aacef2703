/**
 * The configuration log in the platform's object store. Revision N is accepted exactly when the object of entry N
 * has been created by a conditional create.
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
/** An append that took longer than this may have landed among deleted entries, so its writer checks. */
const TRIM_CHECK_AFTER_MS = 600_000;

/** Largest entry: it must fit into one object and into one push between processes. */
const MAX_ENTRY_BYTES = 900_000;

function requireEntrySize(bytes: Uint8Array): void {
  if (bytes.length <= MAX_ENTRY_BYTES) return;
  const message = `the change has ${bytes.length} bytes, more than ${MAX_ENTRY_BYTES}: split it`;
  raise({ type: "invalid_change", message });
}

/** Key of entry `r`. The number is padded, so that listings are in the order of revisions. */
export function logKey(r: Revision): string {
  return LOG_PREFIX + String(r).padStart(12, "0");
}

/** A change to append. `id` makes the call idempotent. */
export interface AppendRequest {
  readonly id: string;
  readonly note: ChangeNote;
  /** Called with the newest configuration for each create; raises to give up. */
  readonly build: (state: ConfigState) => readonly Change[];
  /** Called before each attempt of a create, which may come seconds after `build`; raises to give up. */
  readonly beforeAttempt?: () => void;
}

/** Options of {@link ConfigLog}. */
export interface ConfigLogOptions {
  /** State to keep up to date; a new one by default. */
  readonly state?: ConfigState;
  readonly retry?: RetryOptions;
  /** Called when an entry of this writer was accepted and applied to its state. */
  readonly onAccepted?: (entry: LogEntry) => void;
}

/** Reads the log and appends to it. Every process that changes the configuration has its own instance. */
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

  /** Applies all entries up to the newest accepted one, and returns its revision. */
  async catchUp(): Promise<Revision> {
    const startedAt = this.#clock.now();
    await withRetry(() => this.#readRemaining(), this.#clock, this.#rng, this.#retry);
    this.state.recordProof(startedAt);
    return this.state.current().revision;
  }

  /**
   * Appends one entry and returns its revision when it is accepted. Raises `invalid_change`, whatever `build`
   * raises, `store_unavailable` when nothing was written, or `store_outcome_unknown` when no response showed
   * whether the entry was written; calling again with the same id then returns the true outcome.
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
      const acceptedBefore = this.state.revisionOfChange(req.id);
      if (acceptedBefore !== null) return acceptedBefore;
      const accepted = await this.#attemptAppend(req);
      if (accepted !== null) return accepted;
    }
  }

  async #attemptAppend(req: AppendRequest): Promise<Revision | null> {
    const changes = req.build(this.state);
    const baseView = this.state.current();
    applyChanges(baseView, changes);
    const next = revision(baseView.revision + 1);
    const entry: LogEntry = { revision: next, id: req.id, note: req.note, changes: [...changes] };
    const encoded = encodeEntry(entry);
    requireEntrySize(encoded.bytes);
    const startedAt = this.#clock.now();
    const outcome = await this.#create(next, encoded.bytes, req);
    if (outcome === "taken") return null;
    if (this.#clock.now() - startedAt > TRIM_CHECK_AFTER_MS) await this.#requireNotTrimmed(next);
    // Applies the decoded form, so that this process holds exactly what the others decode.
    this.state.applyEntry(decodeEntry(encoded.bytes));
    this.#onAccepted(entry);
    await this.#snapshots.writeIfDue(this.state.current()).catch(() => {});
    return next;
  }

  /**
   * Creates entry `r`. After a lost response the same create is attempted again. It can take effect only once, and
   * when the key exists, the change id of its entry tells whose write it was.
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
        message: `it is not known whether change ${id} was accepted as revision ${r}`,
      }, { cause: e });
    }
  }

  /**
   * Raises `store_conflict` when entry `r` landed among deleted entries, where no process reads it, and deletes it.
   * This happens to a create that was delayed for long.
   */
  async #requireNotTrimmed(r: Revision): Promise<void> {
    const pointer = await this.#snapshots.pointer();
    if (pointer === null || pointer.revision <= r) return;
    const after = await this.#store.get(logKey(revision(r + 1)));
    if (after !== null) return;
    const late = await this.#store.get(logKey(r));
    if (late !== null) await this.#store.delete(logKey(r), { ifVersion: late.version });
    raise({
      type: "store_conflict",
      message: `the log is trimmed beyond revision ${r}`,
      currentVersion: null,
    });
  }

  async #readRemaining(): Promise<void> {
    if (this.state.current().revision === 0) await this.#readSnapshot();
    for (;;) {
      const mayHaveMore = await this.#readPage();
      if (!mayHaveMore) return;
    }
  }

  async #readSnapshot(): Promise<void> {
    const bytes = await this.#snapshots.readNewest();
    if (bytes !== null) this.state.applySnapshot(bytes);
  }

  /** Reads one page. Returns whether there may be more. */
  async #readPage(): Promise<boolean> {
    const after = logKey(this.state.current().revision);
    const page = await this.#store.list(LOG_PREFIX, { after, limit: LIST_LIMIT });
    for (const obj of page.objects) {
      if (!this.state.applyEntry(decodeEntry(obj.value))) {
        // The entries in between were deleted, so that only a snapshot can bridge the gap.
        await this.#readSnapshot();
        return true;
      }
    }
    return page.objects.length === LIST_LIMIT;
  }

  /** The history: entries from `from` on, oldest first, with who made each change, when and why. */
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
