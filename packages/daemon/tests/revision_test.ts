import assert from "node:assert/strict";
import { test } from "node:test";
import { revision } from "@wisteriapick/core";
import type { Link, LinkStream, Message } from "@wisteriapick/wire";
import { LinkRouter } from "../src/link_router.ts";

// Guards against handling a message with a configuration older than the one that its sender used.
test("revision listeners are notified before a request or load report is handled", () => {
  const router = new LinkRouter();
  const seen: string[] = [];
  router.registerRevisionListener((_link, received) => void seen.push(`revision ${received}`));
  router.registerStream("run", () => {
    seen.push("run");
    return { onMessage: () => {}, onClose: () => {} };
  });
  router.registerNotify("load", () => void seen.push("load"));
  const link = {} as Link;
  router.onStream(link, { kind: "run", revision: revision(7) } as Message, {} as LinkStream);
  router.onNotify(link, { kind: "load", load: { revision: revision(8) } } as Message);
  assert.deepEqual(seen, ["revision 7", "run", "revision 8", "load"]);
});
