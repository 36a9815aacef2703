import assert from "node:assert/strict";
import { test } from "node:test";
import { revision } from "@wisteriapick/core";
import type { Link, LinkStream, Message } from "@wisteriapick/wire";
import { LinkRouter } from "../src/link_router.ts";

test("the revision of each request and load report is heard before the message is handled", () => {
  const router = new LinkRouter();
  const seen: string[] = [];
  router.registerRevisionListener((_link, heard) => void seen.push(`heard ${heard}`));
  router.registerStream("run", () => {
    seen.push("run");
    return { onMessage: () => {}, onClose: () => {} };
  });
  router.registerNotify("load", () => void seen.push("load"));
  const link = {} as Link;
  router.onStream(link, { kind: "run", revision: revision(7) } as Message, {} as LinkStream);
  router.onNotify(link, { kind: "load", load: { revision: revision(8) } } as Message);
  assert.deepEqual(seen, ["heard 7", "run", "heard 8", "load"]);
});
