/**
 * Matches requests to the routes of a plain service, which say whether a call may be repeated.
 *
 * @module
 */
import type { Service } from "@wisteriapick/control";
import findMyWay, { type HTTPMethod, type HTTPVersion, type Instance } from "find-my-way";

type RouteTable = Instance<HTTPVersion.V1>;

// A configuration change replaces the service object, and its table is collected with it.
const tables = new WeakMap<Service, RouteTable>();

const SAFE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);

function makeTable(service: Service): RouteTable {
  const table = findMyWay();
  for (const { method, path, repeatable } of service.routes) {
    // The later of two routes with the same method and path wins.
    table.off(method.toUpperCase() as HTTPMethod, path);
    const name = `${method.toUpperCase()} ${path}`;
    table.on(method.toUpperCase() as HTTPMethod, path, () => {}, { repeatable, name });
  }
  return table;
}

/** The route of a plain service that a request matches. */
export interface MatchedRoute {
  /** Whether the call may run more than once. */
  readonly repeatable: boolean;
  /** Method and path pattern; requests that match no configured route share one name for each method. */
  readonly name: string;
}

/**
 * Matches a request. A call that matches no configured route may not be repeated, except GET, HEAD and OPTIONS.
 *
 * @example
 * ```ts
 * const { repeatable } = matchRoute(service, "POST", "/orders");
 * ```
 */
export function matchRoute(service: Service, method: string, path: string): MatchedRoute {
  let table = tables.get(service);
  if (table === undefined) {
    table = makeTable(service);
    tables.set(service, table);
  }
  const route = table.find(method as HTTPMethod, path.split("?", 1)[0]!);
  if (route === null) return { repeatable: SAFE_METHODS.has(method), name: `${method} *` };
  return route.store as MatchedRoute;
}
