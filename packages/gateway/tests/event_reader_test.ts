import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { EventReader } from "../src/relay/event_reader.ts";

function makeEvent(id: number, data = "x"): string {
  return `id: ${id}\ndata: ${data}\n\n`;
}

function readAll(reader: EventReader, chunks: readonly string[]): string {
  return chunks.map((c) => reader.push(Buffer.from(c)).bytes.toString()).join("");
}

test("events come out whole and unchanged however they are cut", () => {
  const text = [1, 2, 3, 4].map((id) => makeEvent(id, `piece ${id}`)).join("");
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 0, max: text.length })), (cuts) => {
      const at = [0, ...cuts.sort((a, b) => a - b), text.length];
      const chunks = at.slice(1).map((end, i) => text.slice(at[i]!, end));
      const reader = new EventReader(0);
      assert.equal(readAll(reader, chunks), text);
      assert.equal(reader.lastId, 4);
      assert.equal(reader.hasPartialEvent, false);
    }),
    { seed: 11 },
  );
});

test("half an event is held back, so that a cut stream can go on elsewhere", () => {
  const reader = new EventReader(0);
  assert.equal(readAll(reader, [makeEvent(1), "id: 2\nda"]), makeEvent(1));
  assert.equal(reader.hasPartialEvent, true);
});

test("events that the caller has are dropped when a run goes on", () => {
  const reader = new EventReader(3);
  assert.equal(readAll(reader, [makeEvent(2) + makeEvent(3) + makeEvent(4)]), makeEvent(4));
});

test("a missing event is a fault, and nothing behind it is passed on", () => {
  const reader = new EventReader(0);
  assert.equal(readAll(reader, [makeEvent(1) + makeEvent(3), makeEvent(2)]), makeEvent(1));
  assert.equal(reader.fault, "event_missing");
});

test("an event without an id is a fault", () => {
  const reader = new EventReader(0);
  assert.equal(readAll(reader, ["data: x\n\n"]), "");
  assert.equal(reader.fault, "event_without_id");
});

test("an event that never ends is a fault before it fills memory", () => {
  const reader = new EventReader(0);
  reader.push(Buffer.from("id: 1\ndata: "));
  for (let i = 0; i < 5; i++) reader.push(Buffer.alloc(65_536, "y"));
  assert.equal(reader.fault, "event_too_large");
});

test("fields before the id belong to the event", () => {
  const reader = new EventReader(0);
  const text = `versions: 2\nid: 1\ndata: x\n\n`;
  assert.equal(readAll(reader, [text]), text);
});
