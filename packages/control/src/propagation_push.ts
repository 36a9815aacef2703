/**
 * Builds and takes in `config_push` messages.
 *
 * @module
 */
import { type Revision, revision } from "@wisteriapick/core";
import type { ConfigPush } from "@wisteriapick/wire";
import { decode, encode } from "cbor-x";
import type { ConfigState } from "./config_state.ts";
import { decodeEntry, encodeSnapshot } from "./log_entry.ts";

/** Payload per push, well below the frame limit and the credit of one stream. */
export const PUSH_BYTES = 200_000;

interface SnapshotPart {
  readonly revision: number;
  readonly index: number;
  readonly count: number;
  readonly bytes: Uint8Array;
}

/** What every push of a process says besides its entries. */
export type PushHead = Omit<ConfigPush, "kind" | "entries" | "snapshot" | "revision">;

/** Pushes that bring a peer from `from` to the present state. At least one, which may be empty. */
export function buildPushes(state: ConfigState, from: Revision, head: PushHead): ConfigPush[] {
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
    if (bytes > 0 && bytes + e.bytes.length > PUSH_BYTES) flush(revision(e.entry.revision - 1));
    batch.push(e.bytes);
    bytes += e.bytes.length;
  }
  flush(at);
  // Only the last push may prove freshness: the ones before leave the receiver behind.
  return pushes.map((p, i) => i === pushes.length - 1 ? p : { ...p, asOfMs: null });
}

function snapshotPushes(state: ConfigState, head: PushHead): ConfigPush[] {
  const view = state.current();
  const bytes = encodeSnapshot(view);
  const count = Math.max(1, Math.ceil(bytes.length / PUSH_BYTES));
  return Array.from({ length: count }, (_, index): ConfigPush => {
    const part: SnapshotPart = {
      revision: view.revision,
      index,
      count,
      bytes: bytes.subarray(index * PUSH_BYTES, (index + 1) * PUSH_BYTES),
    };
    const asOfMs = index === count - 1 ? head.asOfMs : null;
    return {
      kind: "config_push",
      revision: view.revision,
      entries: [],
      snapshot: encode(part),
      ...head,
      asOfMs,
    };
  });
}

/** Takes in the pushes of one peer, in order. */
export class PushReceiver {
  #parts: Uint8Array[] = [];

  /** Applies a push. Returns false when entries are missing in between: pull again. */
  receive(state: ConfigState, push: ConfigPush): boolean {
    if (push.snapshot !== undefined) {
      this.#receivePart(state, decode(push.snapshot) as SnapshotPart);
      return true;
    }
    for (const bytes of push.entries) {
      if (!state.applyEntry(decodeEntry(bytes))) return false;
    }
    return push.full === true || state.current().revision >= push.revision;
  }

  #receivePart(state: ConfigState, part: SnapshotPart): void {
    if (part.index === 0) this.#parts = [];
    if (part.index !== this.#parts.length) return;
    this.#parts.push(part.bytes);
    if (this.#parts.length < part.count) return;
    const whole = Buffer.concat(this.#parts);
    this.#parts = [];
    state.applySnapshot(whole);
  }
}
