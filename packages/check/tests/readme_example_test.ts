import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { chosen } from "./readme_example.ts";

const ROOT = new URL("../../../../", import.meta.url);

test("the README's example is identical to the compiled one and runs", () => {
  const read = (path: string) => readFileSync(fileURLToPath(new URL(path, ROOT)), "utf8");
  const example = /```ts\n([\s\S]*?)```/.exec(read("README.md"))![1]!.trim();
  assert.equal(read("packages/check/tests/readme_example.ts").trim(), example);
  assert.equal(chosen, "scribe-01");
});
