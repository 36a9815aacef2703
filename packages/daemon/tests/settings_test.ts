import assert from "node:assert/strict";
import { test } from "node:test";
import { checkSettings, toWpError } from "@wisteriapick/core";
import fc from "fast-check";
import { SettingsSchema } from "../src/mod.ts";

const FILE = "test.yaml";
const SEED = 20261204;

function entrySettings(parts: Record<string, unknown> = {}): Record<string, unknown> {
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

function sideSettings(parts: Record<string, unknown> = {}): Record<string, unknown> {
  const { listen: _, ...common } = entrySettings();
  const own = { kind: "side", endpoint: "scribe-01", service: "scribe" };
  return { ...common, ...own, engine: "http://127.0.0.1:9100", ...parts };
}

function standinsSettings(parts: Record<string, unknown> = {}): Record<string, unknown> {
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
  for (const value of [entrySettings(), sideSettings(), standinsSettings()]) {
    assert.equal(checkSettings(value, SettingsSchema, FILE).kind, value.kind);
  }
});

// Guards against errors that do not say where and what: an operator must find the key from the message alone.
test("a wrong value is reported with file, key path and expected value", () => {
  const cases: [unknown, string, RegExp][] = [
    [entrySettings({ listen: "8080" }), "listen", /ip:port/],
    [entrySettings({ listen: "127.0.0.1:70000" }), "listen", /ip:port/],
    [entrySettings({ clusterKey: "short" }), "clusterKey", /16 characters/],
    [entrySettings({ dataCentre: "" }), "dataCentre", /data centre id/],
    [sideSettings({ plain: "http://127.0.0.1:1" }), "engine", /exactly one/],
    [sideSettings({ engine: undefined }), "engine", /exactly one/],
    [standinsSettings({ engines: [{ id: "a", listen: 5 }] }), "engines.0.listen", /string/],
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

// Guards against a mistyped key that is ignored and leaves a default in force.
test("an unknown key is refused by name", () => {
  assert.match(issuesOf(entrySettings({ listne: "127.0.0.1:1" })).message, /listne/);
});

// Guards against settings that crash the check instead of being reported.
test("any value is either accepted or reported as a settings error", () => {
  const key = fc.oneof(fc.constantFrom(...Object.keys(entrySettings()), "engine"), fc.string());
  const mutation = fc.dictionary(key, fc.jsonValue(), { maxKeys: 3 });
  const base = fc.constantFrom(entrySettings(), sideSettings(), standinsSettings());
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
