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

// Guards against lost or altered bytes when the chunks of a body end inside an event.
test("events are returned complete and unchanged however the stream is split into chunks", () => {
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

// Guards against forwarding part of an event: a run resumed at another engine sends that event again.
test("an incomplete event is not returned, so that a broken stream can be resumed", () => {
  const reader = new EventReader(0);
  assert.equal(readAll(reader, [makeEvent(1), "id: 2\nda"]), makeEvent(1));
  assert.equal(reader.hasPartialEvent, true);
});

// Guards against duplicate events: an engine that resumes a run may repeat events sent before.
test("events that the caller has received are dropped when a run is resumed", () => {
  const reader = new EventReader(3);
  assert.equal(readAll(reader, [makeEvent(2) + makeEvent(3) + makeEvent(4)]), makeEvent(4));
});

// Guards against a faulty engine that takes the whole processor of a gateway: dropped events meet no back-pressure, and
// in a test beside load the gateway's event loop stalled for 4.9 s, while calls of others waited.
test("a stream that repeats its events without end is a fault", () => {
  const reader = new EventReader(0);
  const repeated = Buffer.from(makeEvent(1).repeat(600));
  assert.equal(reader.push(repeated).count, 1);
  assert.equal(reader.fault, null);
  assert.equal(reader.push(repeated).count, 0);
  assert.equal(reader.fault, "events_repeated");
});

test("a run that is resumed may repeat all events of its caller, and a few of its own", () => {
  const reader = new EventReader(20_000);
  for (let id = 1; id <= 20_000; id++) reader.push(Buffer.from(makeEvent(id)));
  reader.push(Buffer.from(makeEvent(20_000) + makeEvent(19_999)));
  assert.equal(reader.push(Buffer.from(makeEvent(20_001))).count, 1);
  assert.equal(reader.fault, null);
});

// Guards against a gap in the output that the caller could not notice.
test("a missing event is a fault, and no event after it is returned", () => {
  const reader = new EventReader(0);
  assert.equal(readAll(reader, [makeEvent(1) + makeEvent(3), makeEvent(2)]), makeEvent(1));
  assert.equal(reader.fault, "event_missing");
});

// Guards against events whose order and completeness cannot be checked.
test("an event without an id is a fault", () => {
  const reader = new EventReader(0);
  assert.equal(readAll(reader, ["data: x\n\n"]), "");
  assert.equal(reader.fault, "event_without_id");
});

// Guards against unbounded buffering of a body without an end of an event.
test("an event that never ends is a fault before it fills memory", () => {
  const reader = new EventReader(0);
  reader.push(Buffer.from("id: 1\ndata: "));
  for (let i = 0; i < 5; i++) reader.push(Buffer.alloc(65_536, "y"));
  assert.equal(reader.fault, "event_too_large");
});

// Guards against cutting off fields that an engine sends before the id.
test("fields before the id belong to the event", () => {
  const reader = new EventReader(0);
  const text = `versions: 2\nid: 1\ndata: x\n\n`;
  assert.equal(readAll(reader, [text]), text);
});
