import assert from "node:assert/strict";
import { test } from "node:test";
import { ByteBuffer } from "../src/mod.ts";

test("pieces of any size are joined in order", () => {
  const buffer = new ByteBuffer();
  assert.equal(buffer.bytes().toString(), "");
  for (const piece of ["a", "", "b".repeat(1_000), "c"]) buffer.append(Buffer.from(piece));
  assert.equal(buffer.length, 1_002);
  assert.equal(buffer.bytes().toString(), `a${"b".repeat(1_000)}c`);
});

// Guards against bytes that change while they are still being written elsewhere.
test("bytes that were taken stay as they are when more are appended", () => {
  const buffer = new ByteBuffer();
  buffer.append(Buffer.from("first"));
  const taken = buffer.bytes();
  for (let i = 0; i < 1_000; i++) buffer.append(Buffer.from("more"));
  assert.equal(taken.toString(), "first");
});
