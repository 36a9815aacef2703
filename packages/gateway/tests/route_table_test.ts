import assert from "node:assert/strict";
import { test } from "node:test";
import { routeId } from "@wisteriapick/core";
import * as fc from "fast-check";
import { RouteTable } from "../src/config/route_table.ts";
import { makeConfig, makeRoute } from "./fixtures.ts";

function tableOf(prefixes: readonly string[], hostname = "shop.example"): RouteTable {
  const routes = prefixes.map((pathPrefix, i) =>
    makeRoute({ id: routeId(`r${i}`), pathPrefix, hostname })
  );
  return new RouteTable(makeConfig({ routes }));
}

test("the route with the longest matching prefix is found", () => {
  const table = tableOf(["/", "/a/", "/a/b/", "/a/b/c/"]);
  assert.equal(table.find("shop.example", "/a/b/x")?.pathPrefix, "/a/b/");
  assert.equal(table.find("shop.example", "/a/b/c/d?e=/f/")?.pathPrefix, "/a/b/c/");
  assert.equal(table.find("shop.example", "/z")?.pathPrefix, "/");
});

test("a prefix matches whole segments only", () => {
  const table = tableOf(["/stock/"]);
  assert.equal(table.find("shop.example", "/stock"), null);
  assert.equal(table.find("shop.example", "/stockings/7"), null);
  assert.equal(table.find("shop.example", "/stock/"), table.config.routes[0]);
});

test("a slash in the query is not part of the path", () => {
  const table = tableOf(["/a/b/"]);
  assert.equal(table.find("shop.example", "/a?x=/b/"), null);
});

test("host names are compared without case and port", () => {
  const table = tableOf(["/a/"]);
  assert.notEqual(table.find("SHOP.example:8080", "/a/x"), null);
  assert.equal(table.find("other.example", "/a/x"), null);
});

test("an account is found by each of its keys", () => {
  const table = tableOf(["/a/"]);
  assert.equal(table.accountOf("k2")?.id, "museum-shop");
  assert.equal(table.accountOf("k3"), null);
});

test("a look-up finds the same route as a comparison with every prefix", () => {
  const segment = fc.constantFrom("a", "b", "c", "ab");
  const path = fc.array(segment, { maxLength: 4 }).map((s) => `/${s.join("/")}`);
  const prefix = path.map((p) => p === "/" ? "/" : `${p}/`);
  fc.assert(
    fc.property(fc.uniqueArray(prefix, { maxLength: 8 }), path, (prefixes, target) => {
      const table = tableOf(prefixes);
      const matching = prefixes.filter((p) => target.startsWith(p));
      const longest = matching.sort((a, b) => b.length - a.length)[0];
      assert.equal(table.find("shop.example", target)?.pathPrefix, longest);
    }),
    { seed: 7 },
  );
});
