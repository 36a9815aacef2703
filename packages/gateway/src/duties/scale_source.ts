/**
 * What orders of endpoints need to know of this gateway: the services that the platform scales, and the requests for them.
 *
 * @module
 */
import type { DataCentreId, ServiceId } from "@wisteriapick/core";
import type { ServiceDemand } from "@wisteriapick/wire";
import type { StreamRun } from "../relay/stream_run.ts";
import type { EndpointRow, Fleet } from "../state/fleet.ts";
import type { Upstreams } from "../upstream/endpoint.ts";
import type { ScaledService, ScaleSource } from "./autoscale.ts";

/** Options of {@link makeScaleSource}. */
export interface ScaleSourceOptions {
  readonly fleet: Fleet;
  readonly upstreams: Upstreams;
  /** Generations in progress, those that wait included. */
  readonly runs: () => Iterable<StreamRun>;
}

/** Returns a source over the state of a gateway. */
export function makeScaleSource({ fleet, upstreams, runs }: ScaleSourceOptions): ScaleSource {
  const scaledServices = () => fleet.routes?.config.services.filter(({ scaling }) => scaling) ?? [];
  return {
    scaled: () =>
      scaledServices().flatMap(({ id, scaling }) =>
        [...byDataCentre(fleet.ofService(id))].map(([dataCentre, rows]): ScaledService => {
          const staying = rows.filter(({ record }) => !record.isDraining);
          const slots = rows.reduce((sum, { record }) => sum + record.slots, 0) / rows.length;
          return { service: id, dataCentre, limits: scaling!, endpoints: staying.length, slots };
        })
      ),
    demand: () => {
      const demands: ServiceDemand[] = [];
      for (const { id } of scaledServices()) {
        for (const [dataCentre, rows] of byDataCentre(fleet.ofService(id))) {
          const requests = rows.reduce((sum, row) => sum + upstreams.of(row).inFlight, 0);
          if (requests > 0) demands.push({ service: id, dataCentre, requests });
        }
        const waiting = countWaiting(runs(), id);
        if (waiting > 0) demands.push({ service: id, dataCentre: null, requests: waiting });
      }
      return demands;
    },
  };
}

function byDataCentre(rows: readonly EndpointRow[]): Map<DataCentreId, EndpointRow[]> {
  const groups = new Map<DataCentreId, EndpointRow[]>();
  for (const row of rows) {
    const { dataCentre } = row.record;
    const group = groups.get(dataCentre);
    if (group === undefined) groups.set(dataCentre, [row]);
    else group.push(row);
  }
  return groups;
}

/** Generations that wait for an engine. One whose route has several services counts for the first of them. */
function countWaiting(runs: Iterable<StreamRun>, service: ServiceId): number {
  let waiting = 0;
  for (const run of runs) {
    if (run.phase === "waiting" && run.req.route.targets[0]?.service === service) waiting++;
  }
  return waiting;
}
