/**
 * Routes and API keys of one configuration, indexed for look-up.
 *
 * @module
 */
import type { ServiceId } from "@wisteriapick/core";
import type { AccountConfig, GatewayConfig, RouteConfig, ServiceConfig } from "./types.ts";

/** A node of a prefix tree over path segments. A look-up takes one step per segment, however many routes there are. */
interface Segment {
  route: RouteConfig | null;
  /** `null` if there are none: most segments of a large configuration are leaves, and maps are slow to create. */
  children: Map<string, Segment> | null;
}

/**
 * Finds the routes, services and accounts of one configuration.
 *
 * @example
 * ```ts
 * const table = new RouteTable(cfg);
 * const route = table.find("shop.example", "/orders/7?x=1");
 * ```
 */
export class RouteTable {
  readonly config: GatewayConfig;
  readonly #hosts = new Map<string, Segment>();
  readonly #services = new Map<ServiceId, ServiceConfig>();
  readonly #accountsByKey = new Map<string, AccountConfig>();

  /** `routes` are those to begin with; `addRoutes` adds the others. */
  constructor(config: GatewayConfig, routes: readonly RouteConfig[] = config.routes) {
    this.config = config;
    this.addRoutes(routes);
    for (const service of config.services) this.#services.set(service.id, service);
    for (const account of config.accounts) {
      for (const key of account.keys) this.#accountsByKey.set(key, account);
    }
  }

  /** Adds routes in the order of the configuration. */
  addRoutes(routes: readonly RouteConfig[]): void {
    for (const route of routes) {
      addRoute(getOrCreateChild(this.#hosts, normalizeHostname(route.hostname)), route);
    }
  }

  /** The route with the longest prefix that matches the path of `target`, which may contain a query; `null` if none. */
  find(hostname: string, target: string): RouteConfig | null {
    let segment = this.#hosts.get(normalizeHostname(hostname));
    if (segment === undefined) return null;
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    let found = segment.route;
    // Prefixes end with a slash, so only whole segments followed by a slash can match.
    let start = 1;
    for (;;) {
      const slash = path.indexOf("/", start);
      if (slash < 0) return found;
      segment = segment.children?.get(path.slice(start, slash));
      if (segment === undefined) return found;
      if (segment.route !== null) found = segment.route;
      start = slash + 1;
    }
  }

  service(id: ServiceId): ServiceConfig | null {
    return this.#services.get(id) ?? null;
  }

  /** The account that holds a key, or `null`. */
  accountOf(key: string): AccountConfig | null {
    return this.#accountsByKey.get(key) ?? null;
  }
}

function addRoute(host: Segment, route: RouteConfig): void {
  const { pathPrefix } = route;
  let segment = host;
  for (let start = 1; start < pathPrefix.length;) {
    const slash = pathPrefix.indexOf("/", start);
    segment.children ??= new Map();
    segment = getOrCreateChild(segment.children, pathPrefix.slice(start, slash));
    start = slash + 1;
  }
  segment.route = route;
}

/** The child segment with a name, created if missing. */
function getOrCreateChild(children: Map<string, Segment>, name: string): Segment {
  let child = children.get(name);
  if (child === undefined) {
    child = { route: null, children: null };
    children.set(name, child);
  }
  return child;
}

/** Removes the port and lower-cases the rest, as host names are compared without case and port. */
function normalizeHostname(hostname: string): string {
  const colon = hostname.lastIndexOf(":");
  const bare = colon > hostname.lastIndexOf("]") ? hostname.slice(0, colon) : hostname;
  return bare.toLowerCase();
}
