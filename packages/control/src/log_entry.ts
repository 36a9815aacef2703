/**
 * Log entries and snapshots and their encoding.
 *
 * @module
 */
import { raise, revision } from "@wisteriapick/core";
import { decode, encode } from "cbor-x";
import { z } from "zod";
import { applyChanges, ChangeSchema } from "./changes.ts";
import { ConfigDocumentSchema, type ConfigView, indexConfig } from "./config_document.ts";

/** Who made a change, when and why. `atMs` is the writer's Unix time, which only people read. */
export const ChangeNoteSchema = z.object({
  who: z.string(),
  atMs: z.number(),
  why: z.string(),
}).strict();

/** One accepted entry, whose changes take effect together. `id` is unique and identifies the write. */
export const LogEntrySchema = z.object({
  revision: z.number().int().positive().transform((n) => revision(n)),
  id: z.string().min(1),
  note: ChangeNoteSchema,
  changes: z.array(ChangeSchema),
}).strict();

export type ChangeNote = z.output<typeof ChangeNoteSchema>;
export type LogEntry = z.output<typeof LogEntrySchema>;

/** A log entry with its encoded form, which is stored and relayed and never encoded again. */
export interface EncodedEntry {
  readonly entry: LogEntry;
  readonly bytes: Uint8Array;
}

/** Encodes an entry. */
export function encodeEntry(entry: LogEntry): EncodedEntry {
  return { entry, bytes: encode(entry) };
}

/** Decodes an entry. Raises `invariant` when the bytes are not a valid entry. */
export function decodeEntry(bytes: Uint8Array): EncodedEntry {
  const res = LogEntrySchema.safeParse(decode(bytes));
  if (!res.success) raise({ type: "invariant", message: `log entry: ${res.error.message}` });
  return { entry: res.data, bytes };
}

/** Applies an entry to the view of the revision before it. */
export function applyEntry(view: ConfigView, entry: LogEntry): ConfigView {
  if (entry.revision !== view.revision + 1) {
    raise({
      type: "invariant",
      message: `entry ${entry.revision} does not follow revision ${view.revision}`,
    });
  }
  return { ...applyChanges(view, entry.changes), revision: entry.revision };
}

/** The empty configuration at revision 0. */
export function emptyView(): ConfigView {
  return indexConfig(ConfigDocumentSchema.parse({}), revision(0));
}

/** Encodes the whole configuration with its revision. Equal views give equal bytes. */
export function encodeSnapshot(view: ConfigView): Uint8Array {
  const doc = {
    services: [...view.services.values()],
    accounts: [...view.accounts.values()],
    dataCentres: [...view.dataCentres.values()],
    endpoints: [...view.endpoints.values()],
    moves: [...view.moves.values()],
  };
  return encode({ revision: view.revision, doc });
}

/** Decodes a snapshot. */
export function decodeSnapshot(bytes: Uint8Array): ConfigView {
  const raw = decode(bytes) as { revision: number; doc: unknown };
  return indexConfig(ConfigDocumentSchema.parse(raw.doc), revision(raw.revision));
}
