import assert from "node:assert/strict";
import { test } from "node:test";
import { UNNAMED_ERA } from "../src/state/store_position.ts";
import { KindView } from "../src/state/store_view.ts";
import { makeSnapshot } from "./fixtures.ts";

function makeView(): KindView<string> {
  const view = new KindView<string>();
  view.replace(makeSnapshot(10, { a: "1", b: "1" }), "store");
  return view;
}

// Guards against a view that goes back when a peer sends an older snapshot.
test("a snapshot older than the view does not replace it", () => {
  const view = makeView();
  assert.equal(view.replace(makeSnapshot(9, {}), "peer"), false);
  assert.equal(view.snapshot.items.size, 2);
});

// Guards against a view that goes back when changes arrive late from a peer.
test("changes older than the view are ignored", () => {
  const view = makeView();
  view.apply(
    { era: UNNAMED_ERA, revision: 12, events: [{ name: "a", item: { revision: 12, value: "2" } }] },
    "store",
  );
  const late = {
    era: UNNAMED_ERA,
    revision: 11,
    events: [{ name: "a", item: { revision: 11, value: "late" } }],
  };
  assert.equal(view.apply(late, "peer"), false);
  assert.equal(view.snapshot.items.get("a")?.value, "2");
});

test("changes without events advance the view's revision and leave its content", () => {
  const view = makeView();
  view.apply({ era: UNNAMED_ERA, revision: 15, events: [] }, "store");
  assert.equal(view.revision, 15);
  assert.equal(view.changedAt, 10);
});

// Guards against removals that are not sent to peers, and against removing objects that exist again.
test("removed names are retained until they exist again", () => {
  const view = makeView();
  view.apply({ era: UNNAMED_ERA, revision: 11, events: [{ name: "a", item: null }] }, "store");
  assert.deepEqual(view.changesSince(10)?.removed, ["a"]);
  assert.deepEqual(view.changesSince(11)?.removed, []);
  view.apply(
    { era: UNNAMED_ERA, revision: 12, events: [{ name: "a", item: { revision: 12, value: "3" } }] },
    "store",
  );
  assert.deepEqual(view.changesSince(10)?.removed, []);
});

test("listeners receive the names that a snapshot removed", () => {
  const view = makeView();
  const removals: string[][] = [];
  const undo = view.registerListener(({ removed }) => removals.push([...removed]));
  view.replace(makeSnapshot(20, { b: "1" }), "store");
  undo();
  view.replace(makeSnapshot(30, {}), "store");
  assert.deepEqual(removals, [["a"]]);
});
