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
  assert.deepEqual(view.changesSince({ era: UNNAMED_ERA, revision: 10 })?.removed, ["a"]);
  assert.deepEqual(view.changesSince({ era: UNNAMED_ERA, revision: 11 })?.removed, []);
  view.apply(
    { era: UNNAMED_ERA, revision: 12, events: [{ name: "a", item: { revision: 12, value: "3" } }] },
    "store",
  );
  assert.deepEqual(view.changesSince({ era: UNNAMED_ERA, revision: 10 })?.removed, []);
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

/** A view in the first era, and what the store holds after it was restored from a copy at an earlier revision. */
function makeRestored() {
  const view = new KindView<string>();
  view.replace(makeSnapshot(10, { a: "new", b: "lost" }, 10, 1), "store");
  return { view, restored: makeSnapshot(7, { a: "old" }, 7, 2) };
}

// Guards against a gateway that refuses what a restored store holds until its revisions pass the earlier ones.
test("a snapshot of a later era replaces the view whatever its revision", () => {
  const { view, restored } = makeRestored();
  const reports: boolean[] = [];
  view.registerListener(({ isRestored }) => reports.push(isRestored));
  assert.equal(view.replace(restored, "store"), true);
  assert.deepEqual([...view.snapshot.items.keys()], ["a"]);
  assert.equal(view.snapshot.items.get("a")?.value, "old");
  view.replace(makeSnapshot(8, { a: "again" }, 8, 2), "store");
  assert.deepEqual(reports, [true, false]);
});

// Guards against a delayed response of the earlier era that undoes what the restored store holds.
test("content of an earlier era changes nothing", () => {
  const { view, restored } = makeRestored();
  view.replace(restored, "store");
  assert.equal(view.replace(makeSnapshot(900, { b: "lost" }, 900, 1), "peer"), false);
  const events = [{ name: "b", item: { revision: 901, value: "lost" } }];
  assert.equal(view.apply({ era: 1, revision: 901, events }, "store"), false);
  assert.deepEqual(view.position, { era: 2, revision: 7 });
  assert.deepEqual([...view.snapshot.items.keys()], ["a"]);
});

// Guards against changes of a later era that are applied to content of an earlier one, so that what lies between is missed.
test("changes of a later era are not applied to a view of an earlier one", () => {
  const { view } = makeRestored();
  const events = [{ name: "c", item: { revision: 11, value: "1" } }];
  assert.equal(view.apply({ era: 2, revision: 11, events }, "store"), false);
  assert.deepEqual(view.position, { era: 1, revision: 10 });
});

// Guards against a revision that is given out again and hides the content that it has now.
test("an object with a revision that was given out again has its new value", () => {
  const { view } = makeRestored();
  view.replace(makeSnapshot(10, { a: "other" }, 10, 2), "store");
  assert.equal(view.snapshot.items.get("a")?.value, "other");
});

// Guards against a patch for a gateway whose view is of an earlier era.
test("what has changed since an earlier era is not known", () => {
  const { view, restored } = makeRestored();
  view.replace(restored, "store");
  assert.equal(view.changesSince({ era: 1, revision: 8 }), null);
  assert.notEqual(view.changesSince({ era: 2, revision: 7 }), null);
});

function makeVersions() {
  return new KindView<{ readonly version: number; readonly text: string }>({
    isEarlier: (a, b) => a.version < b.version,
  });
}

// Guards against a configuration that goes back while a restored store shows an older one.
test("a value of an earlier version does not replace a later one, until the store has that version again", () => {
  const view = makeVersions();
  const versionOf = () => view.snapshot.items.get("main")?.value.version;
  view.replace(makeSnapshot(10, { main: { version: 7, text: "lost" } }, 10, 1), "store");
  view.replace(makeSnapshot(4, { main: { version: 5, text: "old" } }, 4, 2), "store");
  assert.equal(versionOf(), 7);
  const apply = (revision: number, version: number) =>
    view.apply({
      era: 2,
      revision,
      events: [{ name: "main", item: { revision, value: { version, text: "again" } } }],
    }, "store");
  apply(5, 6);
  assert.equal(versionOf(), 7);
  apply(6, 7);
  assert.equal(view.snapshot.items.get("main")?.value.text, "again");
  apply(7, 9);
  assert.equal(versionOf(), 9);
});

// Guards against a configuration that is gone while a restored store has none.
test("a value with a version is retained if the restored store lacks it, and removed if the store removes it", () => {
  const view = makeVersions();
  view.replace(makeSnapshot(10, { main: { version: 7, text: "lost" } }, 10, 1), "store");
  view.replace(makeSnapshot(4, {}, 4, 2), "store");
  assert.equal(view.snapshot.items.size, 1);
  view.apply({ era: 2, revision: 6, events: [{ name: "main", item: null }] }, "store");
  assert.equal(view.snapshot.items.size, 0);
});

// Guards against a part of a gateway that goes on with what it knew, as another part failed on the same change.
test("a listener that fails keeps none of the others from being told", () => {
  const view = makeView();
  let told = 0;
  view.registerListener(() => {
    throw new Error("odd");
  });
  view.registerListener(() => told++);
  try {
    view.apply(
      {
        era: UNNAMED_ERA,
        revision: 12,
        events: [{ name: "a", item: { revision: 12, value: "2" } }],
      },
      "store",
    );
  } catch {
    // Whether the failure is passed on is left open.
  }
  assert.equal(told, 1);
});
