/**
 * The configuration in force at one process. Its revision never decreases.
 *
 * @module
 */
import { type Clock, type Revision, revision, type Undo } from "@wisteriapick/core";
import { ConfigSource, type ConfigView } from "./config_document.ts";
import { applyEntry, decodeSnapshot, emptyView, type EncodedEntry } from "./log_entry.ts";

/** Entries held, so that peers can catch up without a snapshot. */
export const RECENT_ENTRIES = 1_024;
/** A process becomes ready when its configuration is proven to have been the newest within this time. */
export const MAX_READY_AGE_MS = 5_000;

/** The configuration in force, with its last proof of freshness and the recent entries. */
export class ConfigState extends ConfigSource {
  #view: ConfigView = emptyView();
  #ready = false;
  #provenAtMs: number | null = null;
  #recent: EncodedEntry[] = [];
  readonly #clock: Clock;
  readonly #listeners = new Set<(view: ConfigView) => void>();

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  current(): ConfigView {
    return this.#view;
  }

  ready(): boolean {
    return this.#ready;
  }

  registerListener(fn: (view: ConfigView) => void): Undo {
    this.#listeners.add(fn);
    return () => void this.#listeners.delete(fn);
  }

  /** Age of the last proof of freshness, or `null` when there was none. */
  asOfMs(): number | null {
    return this.#provenAtMs === null ? null : this.#clock.now() - this.#provenAtMs;
  }

  /** Records a proof of freshness: the configuration in force was the newest one at monotonic time `at`. */
  recordProof(at: number): void {
    if (this.#provenAtMs === null || at > this.#provenAtMs) this.#provenAtMs = at;
    if (this.#clock.now() - at <= MAX_READY_AGE_MS) this.#ready = true;
  }

  /** Makes the process ready without a proof of freshness, by the start-up rule for a store that is down. */
  recordReadyWithoutProof(): void {
    this.#ready = true;
  }

  /** Applies the next entry and ignores older ones. Returns false when entries in between are missing. */
  applyEntry(encoded: EncodedEntry): boolean {
    const next = encoded.entry.revision;
    if (next <= this.#view.revision) return true;
    if (next !== this.#view.revision + 1) return false;
    this.#view = applyEntry(this.#view, encoded.entry);
    this.#recent.push(encoded);
    // Trimmed in bulk, so that copying costs little per entry.
    if (this.#recent.length >= 2 * RECENT_ENTRIES) {
      this.#recent = this.#recent.slice(-RECENT_ENTRIES);
    }
    this.#notify();
    return true;
  }

  /** Replaces the configuration by a snapshot when that is newer. */
  applySnapshot(bytes: Uint8Array): void {
    const view = decodeSnapshot(bytes);
    if (view.revision <= this.#view.revision) return;
    this.#view = view;
    this.#recent = [];
    this.#notify();
  }

  /** Entries after `from`, or `null` when some are no longer held. */
  entriesAfter(from: Revision): readonly EncodedEntry[] | null {
    if (from >= this.#view.revision) return [];
    const first = this.#recent[0]?.entry.revision;
    if (first === undefined || first > from + 1) return null;
    return this.#recent.slice(from + 1 - first);
  }

  /** Revision before the oldest entry held, or `null` when none is held. */
  revisionBeforeOldestEntry(): Revision | null {
    const first = this.#recent[0]?.entry.revision;
    return first === undefined ? null : revision(first - 1);
  }

  /** The revision at which a change id was accepted, or `null` when no entry held has it. */
  revisionOfChange(id: string): Revision | null {
    for (let i = this.#recent.length - 1; i >= 0; i--) {
      const entry = this.#recent[i]!.entry;
      if (entry.id === id) return entry.revision;
    }
    return null;
  }

  #notify(): void {
    for (const fn of this.#listeners) fn(this.#view);
  }
}
