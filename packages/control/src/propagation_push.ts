/**
 * Builds and applies `config_push` messages.
 *
 * @module
 */
import { type Revision, revision } from "@wisteriapick/core";
import type { ConfigPush } from "@wisteriapick/wire";
import { decode, encode } from "cbor-x";
import type { ConfigState } from "./config_state.ts";
import { decodeEntry, encodeSnapshot } from "./log_entry.ts";

/** Payload per push, well below the frame limit and the flow-control credit of one stream. */
export const MAX_PUSH_BYTES = 200_000;

interface SnapshotChunk {
  readonly revision: number;
  readonly index: number;
  readonly count: number;
  readonly bytes: Uint8Array;
}

/** Fields that every push of a process carries besides its entries. */
export type PushHeader = Omit<ConfigPush, "kind" | "entries" | "snapshot" | "revision">;

/** Builds the pushes that bring a peer from `from` to the current state: at least one, which may be empty. */
export function buildPushes(state: ConfigState, from: Revision, head: PushHeader): ConfigPush[] {
  const at = state.current().revision;
  const missing = state.entriesAfter(from);
  if (missing === null) return snapshotPushes(state, head);
  const pushes: ConfigPush[] = [];
  let batch: Uint8Array[] = [];
  let bytes = 0;
  const flush = (r: Revision) => {
    pushes.push({ kind: "config_push", revision: r, entries: batch, ...head });
    batch = [];
    bytes = 0;
  };
  for (const e of missing) {
    if (bytes > 0 && bytes + e.bytes.length > MAX_PUSH_BYTES) flush(revision(e.entry.revision - 1));
    batch.push(e.bytes);
    bytes += e.bytes.length;
  }
  flush(at);
  // Only the last push may prove freshness: after the others the receiver still lacks entries.
  return pushes.map((p, i) => i === pushes.length - 1 ? p : { ...p, asOfMs: null });
}

function snapshotPushes(state: ConfigState, head: PushHeader): ConfigPush[] {
  const view = state.current();
  const bytes = encodeSnapshot(view);
  const count = Math.max(1, Math.ceil(bytes.length / MAX_PUSH_BYTES));
  return Array.from({ length: count }, (_, index): ConfigPush => {
    const chunk: SnapshotChunk = {
      revision: view.revision,
      index,
      count,
      bytes: bytes.subarray(index * MAX_PUSH_BYTES, (index + 1) * MAX_PUSH_BYTES),
    };
    const asOfMs = index === count - 1 ? head.asOfMs : null;
    return {
      kind: "config_push",
      revision: view.revision,
      entries: [],
      snapshot: encode(chunk),
      ...head,
      asOfMs,
    };
  });
}

/** Applies the pushes of one peer, in order. */
export class PushReceiver {
  #chunks: Uint8Array[] = [];

  /** Applies a push. Returns false when entries are missing in between, so that the caller must subscribe anew. */
  receive(state: ConfigState, push: ConfigPush): boolean {
    if (push.snapshot !== undefined) {
      this.#receiveChunk(state, decode(push.snapshot) as SnapshotChunk);
      return true;
    }
    for (const bytes of push.entries) {
      if (!state.applyEntry(decodeEntry(bytes))) return false;
    }
    return push.full === true || state.current().revision >= push.revision;
  }

  #receiveChunk(state: ConfigState, chunk: SnapshotChunk): void {
    if (chunk.index === 0) this.#chunks = [];
    if (chunk.index !== this.#chunks.length) return;
    this.#chunks.push(chunk.bytes);
    if (this.#chunks.length < chunk.count) return;
    const snapshot = Buffer.concat(this.#chunks);
    this.#chunks = [];
    state.applySnapshot(snapshot);
  }
}
