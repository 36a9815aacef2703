import assert from "node:assert/strict";
import { test } from "node:test";
import { checkSettings, toWpError } from "@wisteriapick/core";
import fc from "fast-check";
import { SettingsSchema } from "../src/mod.ts";

const FILE = "test.yaml";
const SEED = 20261204;

function makeEntrySettings(parts: Record<string, unknown> = {}): Record<string, unknown> {
  return {
    kind: "entry",
    host: "host-1",
    dataCentre: "accra-osu",
    links: "127.0.0.1:7100",
    listen: "127.0.0.1:8080",
    clusterKey: "a-key-of-sixteen-or-more",
    objectStore: "http://127.0.0.1:9000",
    hostList: "http://127.0.0.1:9001",
    ...parts,
  };
}

function makeSideSettings(parts: Record<string, unknown> = {}): Record<string, unknown> {
  const { listen: _, ...common } = makeEntrySettings();
  const own = { kind: "side", endpoint: "scribe-01", service: "scribe" };
  return { ...common, ...own, engine: "http://127.0.0.1:9100", ...parts };
}

function makeStandinsSettings(parts: Record<string, unknown> = {}): Record<string, unknown> {
  return {
    kind: "standins",
    objectStore: { listen: "127.0.0.1:9000" },
    hostList: { listen: "127.0.0.1:9001" },
    engines: [{ id: "scribe-01", listen: "127.0.0.1:9100" }],
    ...parts,
  };
}

function issuesOf(value: unknown) {
  try {
    checkSettings(value, SettingsSchema, FILE);
  } catch (e) {
    const err = toWpError(e);
    assert.equal(err.type, "settings");
    return err.type === "settings" ? err : assert.fail();
  }
  return assert.fail("the settings were accepted");
}

test("settings of each kind are accepted", () => {
  for (const value of [makeEntrySettings(), makeSideSettings(), makeStandinsSettings()]) {
    assert.equal(checkSettings(value, SettingsSchema, FILE).kind, value.kind);
  }
});

// Guards against errors without file, key path or expected value: operators must find the key by the message alone.
test("an invalid value is reported with file, key path and expected value", () => {
  const cases: [unknown, string, RegExp][] = [
    [makeEntrySettings({ listen: "8080" }), "listen", /ip:port/],
    [makeEntrySettings({ listen: "127.0.0.1:70000" }), "listen", /ip:port/],
    [makeEntrySettings({ clusterKey: "short" }), "clusterKey", /16 characters/],
    [makeEntrySettings({ dataCentre: "" }), "dataCentre", /data centre id/],
    [makeSideSettings({ plain: "http://127.0.0.1:1" }), "engine", /exactly one/],
    [makeSideSettings({ engine: undefined }), "engine", /exactly one/],
    [makeStandinsSettings({ engines: [{ id: "a", listen: 5 }] }), "engines.0.listen", /string/],
    [{ kind: "proxy" }, "kind", /./],
  ];
  for (const [value, path, expected] of cases) {
    const err = issuesOf(value);
    assert.equal(err.file, FILE);
    assert.equal(err.issues[0]!.path, path);
    assert.match(err.issues[0]!.expected, expected);
    assert.ok(err.message.includes(FILE) && err.message.includes(path));
  }
});

// Guards against a mistyped key that is ignored, so that the default applies unnoticed.
test("an unknown key is refused by name", () => {
  assert.match(issuesOf(makeEntrySettings({ listne: "127.0.0.1:1" })).message, /listne/);
});

// Guards against settings that make the validation throw instead of being reported.
test("any value is either accepted or reported as a settings error", () => {
  const key = fc.oneof(fc.constantFrom(...Object.keys(makeEntrySettings()), "engine"), fc.string());
  const mutation = fc.dictionary(key, fc.jsonValue(), { maxKeys: 3 });
  const base = fc.constantFrom(makeEntrySettings(), makeSideSettings(), makeStandinsSettings());
  const mutated = fc.tuple(base, mutation).map(([b, m]) => ({ ...b, ...m }));
  fc.assert(
    fc.property(fc.oneof(mutated, fc.jsonValue()), (value) => {
      const parsed = SettingsSchema.safeParse(value);
      if (parsed.success) return;
      assert.ok(issuesOf(value).issues.every((i) => i.expected !== ""));
    }),
    { seed: SEED, numRuns: 500 },
  );
});
