import assert from "node:assert/strict";
import { test } from "node:test";
import { StalledReaders, UNREAD_MS } from "../src/mod.ts";

const SHARE = 1_000;

// Guards against callers that read slowly and are closed, and against closing more than others need.
test("connections without a byte taken are closed, the longest unread first, while the room is full only", () => {
  const readers = new StalledReaders<{ id: object; unreadBytes: number; sentBytes: number }>((c) =>
    c.id
  );
  const connections = Array.from({ length: 10 }, () => ({
    id: {},
    unreadBytes: 100,
    sentBytes: 50,
  }));
  const check = (usedBytes: number, nowMs: number) =>
    readers.check(() => connections, { used: usedBytes, share: SHARE }, nowMs);
  assert.deepEqual(check(SHARE, 0), [], "nothing is known of them yet");
  connections[0]!.sentBytes = 51;
  assert.deepEqual(check(SHARE, UNREAD_MS - 1), []);
  assert.deepEqual(check(SHARE - 1, UNREAD_MS + 500), [], "there is room");
  const closed = check(SHARE, UNREAD_MS + 1_000);
  assert.deepEqual(closed, connections.slice(1, 4), "a quarter of the room");
  assert.deepEqual(check(SHARE, UNREAD_MS + 1_001), [], "shortly after a check");
});

// Guards against callers that take a byte now and then, or the events of a stream before large responses, and keep the
// room of what they do not take.
test("a connection that takes next to nothing of what it holds is closed, and one that reads slowly is not", () => {
  const readers = new StalledReaders<{ id: object; unreadBytes: number; sentBytes: number }>((c) =>
    c.id
  );
  const trickling = { id: {}, unreadBytes: 400_000, sentBytes: 0 };
  const slow = { id: {}, unreadBytes: 400_000, sentBytes: 0 };
  const closed = new Set<object>();
  for (let ms = 0; ms <= 2 * UNREAD_MS; ms += 1_000) {
    const room = { used: 4_000_000, share: 4_000_000 };
    for (const connection of readers.check(() => [trickling, slow], room, ms)) {
      closed.add(connection);
    }
    trickling.sentBytes += 400;
    slow.sentBytes += 4_000;
  }
  assert.deepEqual([...closed], [trickling]);
});
