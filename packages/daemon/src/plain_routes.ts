/**
 * Which routes of a plain service may be repeated.
 *
 * @module
 */
import type { Service } from "@wisteriapick/control";
import findMyWay, { type HTTPMethod, type HTTPVersion, type Instance } from "find-my-way";

type RouteTable = Instance<HTTPVersion.V1>;

// Services are replaced as a whole when the configuration changes, which drops the table with them.
const tables = new WeakMap<Service, RouteTable>();

const SAFE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);

function makeTable(service: Service): RouteTable {
  const table = findMyWay();
  for (const { method, path, repeatable } of service.routes) {
    // A route given twice is repeatable only where every entry says so; the later one decides otherwise.
    table.off(method.toUpperCase() as HTTPMethod, path);
    table.on(method.toUpperCase() as HTTPMethod, path, () => {}, { repeatable });
  }
  return table;
}

/**
 * Whether a request may be run more than once. A route that the service's settings do not name may not, except
 * GET, HEAD and OPTIONS.
 *
 * @example
 * ```ts
 * const repeatable = mayRepeat(service, "POST", "/orders");
 * ```
 */
export function mayRepeat(service: Service, method: string, path: string): boolean {
  let table = tables.get(service);
  if (table === undefined) {
    table = makeTable(service);
    tables.set(service, table);
  }
  const route = table.find(method as HTTPMethod, path.split("?", 1)[0]!);
  if (route === null) return SAFE_METHODS.has(method);
  return (route.store as { repeatable: boolean }).repeatable;
}
