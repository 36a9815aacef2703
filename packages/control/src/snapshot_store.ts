/**
 * Snapshots of the configuration in the platform's object store, and deletion of old log entries.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type Revision, revision, toWpError } from "@wisteriapick/core";
import type { ObjectStore } from "@wisteriapick/clients";
import { decode, encode } from "cbor-x";
import type { ConfigView } from "./config_document.ts";
import { encodeSnapshot } from "./log_entry.ts";

export const SNAPSHOT_POINTER_KEY = "config/snapshot";
const CHUNK_PREFIX = "config/snapshots/";
/** A snapshot is written at each multiple of this number of revisions. */
export const SNAPSHOT_INTERVAL = 256;
/** Size of a chunk, below the store's limit of 1 MB per value. */
export const SNAPSHOT_CHUNK_BYTES = 900_000;
/** Log entries retained as history: those of one day at the design size. */
export const RETAINED_LOG_ENTRIES = 100_000;
const LOG_PREFIX = "config/log/";

/** Location of the newest snapshot. `digest` is part of its chunks' keys, so that chunks of two writers never mix. */
export interface SnapshotPointer {
  readonly revision: Revision;
  readonly digest: string;
  readonly chunks: number;
  readonly version: number;
}

function snapshotPrefix(r: number): string {
  return CHUNK_PREFIX + String(r).padStart(12, "0");
}

function chunkKey(r: Revision, digest: string, i: number): string {
  return `${snapshotPrefix(r)}/${digest}/${String(i).padStart(4, "0")}`;
}

function digestHex(bytes: Uint8Array): string {
  return createHash("sha256").update(bytes).digest("hex").slice(0, 16);
}

async function ignoreConflict(work: Promise<unknown>): Promise<void> {
  try {
    await work;
  } catch (e) {
    if (toWpError(e).type !== "store_conflict") throw e;
  }
}

/** Writes and reads snapshots. Concurrent writers are safe. */
export class SnapshotStore {
  readonly #store: ObjectStore;
  readonly #interval: number;
  readonly #retainedEntries: number;
  readonly #chunkBytes: number;

  constructor(
    store: ObjectStore,
    {
      interval = SNAPSHOT_INTERVAL,
      retainedEntries = RETAINED_LOG_ENTRIES,
      chunkBytes = SNAPSHOT_CHUNK_BYTES,
    } = {},
  ) {
    this.#store = store;
    this.#interval = interval;
    this.#retainedEntries = retainedEntries;
    this.#chunkBytes = chunkBytes;
  }

  async pointer(): Promise<SnapshotPointer | null> {
    const obj = await this.#store.get(SNAPSHOT_POINTER_KEY);
    if (obj === null) return null;
    const raw = decode(obj.value) as { revision: number; digest: string; chunks: number };
    return { ...raw, revision: revision(raw.revision), version: obj.version };
  }

  /** Bytes of the newest snapshot, or `null` when there is none. */
  async readNewest(): Promise<Uint8Array | null> {
    const pointer = await this.pointer();
    if (pointer === null) return null;
    const chunks: Uint8Array[] = [];
    for (let i = 0; i < pointer.chunks; i++) {
      const obj = await this.#store.get(chunkKey(pointer.revision, pointer.digest, i));
      // The snapshot was deleted during the read, so that a newer one exists.
      if (obj === null) return this.readNewest();
      chunks.push(obj.value);
    }
    return Buffer.concat(chunks);
  }

  /** Writes a snapshot of `view` when its revision is a multiple of the interval. */
  async writeIfDue(view: ConfigView): Promise<void> {
    if (view.revision % this.#interval === 0) await this.write(view);
  }

  /** Writes a snapshot of `view` unless a newer one exists, and deletes the snapshots and entries it replaces. */
  async write(view: ConfigView): Promise<void> {
    const old = await this.pointer();
    if (old !== null && old.revision >= view.revision) return;
    const bytes = encodeSnapshot(view);
    const digest = digestHex(bytes);
    const chunks = Math.max(1, Math.ceil(bytes.length / this.#chunkBytes));
    for (let i = 0; i < chunks; i++) {
      const chunk = bytes.subarray(i * this.#chunkBytes, (i + 1) * this.#chunkBytes);
      const key = chunkKey(view.revision, digest, i);
      await ignoreConflict(this.#store.put(key, chunk, { ifVersion: 0 }));
    }
    const pointer = encode({ revision: view.revision, digest, chunks });
    await this.#store.put(SNAPSHOT_POINTER_KEY, pointer, { ifVersion: old?.version ?? 0 });
    await this.#deleteReplaced(view.revision);
  }

  /**
   * Deletes old entries and snapshots. At least the newest two snapshots stay, so that a reader of the previous one can
   * finish.
   */
  async #deleteReplaced(newest: Revision): Promise<void> {
    const chunks = await this.#store.list(CHUNK_PREFIX);
    const firstRetainedKey = snapshotPrefix(Math.max(0, newest - 2 * this.#interval));
    for (const obj of chunks.objects) {
      if (obj.key < firstRetainedKey) await this.#deleteOne(obj.key, obj.version);
    }
    const firstRetained = newest - this.#retainedEntries;
    if (firstRetained <= 0) return;
    const page = await this.#store.list(LOG_PREFIX, { limit: 2 * this.#interval });
    for (const obj of page.objects) {
      if (Number(obj.key.slice(LOG_PREFIX.length)) >= firstRetained) return;
      await this.#deleteOne(obj.key, obj.version);
    }
  }

  async #deleteOne(key: string, version: number): Promise<void> {
    await ignoreConflict(this.#store.delete(key, { ifVersion: version }));
  }
}
