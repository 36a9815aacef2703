/**
 * Chooses one of the services that a route may use.
 *
 * @module
 */
import type { Rng, ServiceId } from "@wisteriapick/core";
import type { RouteConfig } from "../config/types.ts";
import type { Fleet } from "../state/fleet.ts";

/**
 * Draws a service of the route by weight, among those with a usable endpoint; `null` where none has one. A route's only
 * service is returned whether it has one or not.
 */
export function chooseService(fleet: Fleet, route: RouteConfig, rng: Rng): ServiceId | null {
  const { targets } = route;
  if (targets.length === 1) return targets[0]!.service;
  const usable = targets.filter((t) =>
    t.weight > 0 && fleet.usable(t.service, route.regions).length > 0
  );
  const total = usable.reduce((sum, t) => sum + t.weight, 0);
  let remaining = rng.next() * total;
  for (const target of usable) {
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return usable.at(-1)?.service ?? null;
}
