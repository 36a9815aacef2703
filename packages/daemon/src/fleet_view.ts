/**
 * An entry's view of the fleet, for plans and the operators' `status`.
 *
 * @module
 */
import type { Clock, EndpointId, Undo } from "@wisteriapick/core";
import {
  type ControlProcess,
  type EndpointStatus,
  FleetSource,
  type ProcessStatus,
  surveyRevisions,
} from "@wisteriapick/control";
import type { HostRecord } from "@wisteriapick/clients";
import type { EndpointLoad, LinkPool } from "@wisteriapick/wire";
import type { LinkRouter } from "./link_router.ts";

/** Options of {@link FleetView}. */
export interface FleetViewOptions {
  readonly control: ControlProcess;
  readonly pool: LinkPool;
  readonly clock: Clock;
  readonly acceptor: LinkRouter;
}

/** Combines the host list with the last load report of each endpoint. */
export class FleetView extends FleetSource {
  readonly #o: FleetViewOptions;
  readonly #loads = new Map<EndpointId, EndpointLoad>();

  constructor(options: FleetViewOptions) {
    super();
    this.#o = options;
  }

  start(): Undo {
    return this.#o.acceptor.registerNotify(
      "load",
      (_link, { load }) => void this.#loads.set(load.endpoint, load),
    );
  }

  endpoints(): readonly EndpointStatus[] {
    return this.#o.control.membership.hosts.flatMap((host) => this.#statusOf(host));
  }

  processes(): Promise<readonly ProcessStatus[]> {
    const { control, pool, clock } = this.#o;
    const members = control.membership.members();
    return surveyRevisions(members, { pool, state: control.state, clock });
  }

  #statusOf({ endpoint, dataCentre, state, side }: HostRecord): EndpointStatus[] {
    if (endpoint === undefined) return [];
    const load = this.#loads.get(endpoint.id);
    return [{
      endpoint: endpoint.id,
      service: endpoint.service,
      dataCentre,
      version: load?.version ?? null,
      running: load?.running ?? null,
      queued: load?.queued ?? null,
      allowance: load?.allowance ?? null,
      leaving: state === "leaving" || (load?.leaving ?? false),
      owned: side !== undefined,
    }];
  }
}
