/**
 * The learned speeds of the endpoints of all services, and the exchange of them with other gateways.
 *
 * Estimates belong to one process of an endpoint, and are dropped when it ends or another one takes its id.
 *
 * @module
 */
import type { Clock, EndpointId, ServiceId, Undo } from "@wisteriapick/core";
import {
  type EndpointSpeedOptions,
  EndpointSpeeds,
  type SpeedEstimate,
  type SpeedEvidence,
} from "@wisteriapick/policy";
import type { EndpointRecord } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import type { PeerGroup } from "../peers/peer_group.ts";
import { SpeedExchange, type SpeedItem } from "../peers/speed_exchange.ts";
import type { EndpointChange, Fleet } from "../state/fleet.ts";

/** Settings of learned speeds. */
export interface EndpointSpeedSettings extends Omit<EndpointSpeedOptions, "onSlow"> {
  /** Whether speeds are learned and used. */
  readonly isEnabled: boolean;
  /** Shortest interval between reports to other gateways, in milliseconds. */
  readonly reportIntervalMs: number;
}

/** Options of {@link EndpointSpeedTable}. */
export interface EndpointSpeedTableOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Pick<GatewayMetrics, "setSpeedSource">;
  readonly fleet: Pick<Fleet, "registerEndpointListener"> & {
    readonly endpoints: { get(id: EndpointId): { readonly record: EndpointRecord } | undefined };
  };
  readonly settings: EndpointSpeedSettings;
}

/** The speeds of all endpoints. */
export class EndpointSpeedTable {
  readonly #options: EndpointSpeedTableOptions;
  readonly #services = new Map<ServiceId, EndpointSpeeds>();
  readonly #undos: Undo[] = [];

  constructor(options: EndpointSpeedTableOptions) {
    this.#options = options;
    this.#undos.push(options.fleet.registerEndpointListener((change) => this.#onChange(change)));
    options.metrics.setSpeedSource(() => this.#metrics());
  }

  /** The speeds of a service's endpoints; `null` where speeds are not learned. */
  ofService(service: ServiceId): EndpointSpeeds | null {
    if (!this.#options.settings.isEnabled) return null;
    let speeds = this.#services.get(service);
    if (speeds === undefined) {
      const { halfLifeMs, differenceFactor } = this.#options.settings;
      speeds = new EndpointSpeeds({
        ...(halfLifeMs === undefined ? {} : { halfLifeMs }),
        ...(differenceFactor === undefined ? {} : { differenceFactor }),
        onSlow: (endpoint, isSlow, estimate) => this.#logSlow(endpoint, isSlow, estimate),
      });
      this.#services.set(service, speeds);
    }
    return speeds;
  }

  /** The speeds of the siblings of an endpoint; `null` if it is not known or speeds are not learned. */
  ofEndpoint(endpoint: EndpointId): EndpointSpeeds | null {
    const record = this.#options.fleet.endpoints.get(endpoint)?.record;
    return record === undefined ? null : this.ofService(record.service);
  }

  /** Speed by which to place requests at an endpoint; 1 unless it differs measurably from its siblings. */
  effectiveSpeed(endpoint: EndpointId, nowMs: number): number {
    return this.ofEndpoint(endpoint)?.effectiveSpeed(endpoint, nowMs) ?? 1;
  }

  /** Exchanges estimates with other gateways. The returned undo ends that. */
  share(network: PeerGroup): Undo {
    const { clock, log, settings } = this.#options;
    if (!settings.isEnabled) return () => {};
    const exchange = new SpeedExchange({
      network,
      clock,
      log,
      intervalMs: settings.reportIntervalMs,
      summary: () => this.#summary(),
      onPooled: (items) => this.#merge(items),
    });
    return () => {
      exchange.close();
      for (const undo of this.#undos) undo();
    };
  }

  #summary(): SpeedItem[] {
    const now = this.#options.clock.now();
    return [...this.#services.values()].flatMap((speeds) =>
      speeds.summary(now).flatMap((evidence) => {
        const record = this.#options.fleet.endpoints.get(evidence.endpoint)?.record;
        return record === undefined
          ? []
          : [{ ...evidence, startedAtUnixMs: record.startedAtUnixMs }];
      })
    );
  }

  /** Takes over what all gateways have found, where it is about the present process of an endpoint. */
  #merge(items: readonly SpeedItem[]): void {
    const now = this.#options.clock.now();
    const byService = new Map<ServiceId, SpeedEvidence[]>();
    for (const item of items) {
      const record = this.#options.fleet.endpoints.get(item.endpoint)?.record;
      if (record === undefined || record.startedAtUnixMs !== item.startedAtUnixMs) continue;
      const list = byService.get(record.service);
      if (list === undefined) byService.set(record.service, [item]);
      else list.push(item);
    }
    for (const [service, evidence] of byService) this.ofService(service)?.merge(evidence, now);
  }

  #onChange({ id, before, after, restarted }: EndpointChange): void {
    if (after !== null && !restarted) return;
    const service = before?.record.service;
    if (service === undefined) return;
    const speeds = this.#services.get(service);
    speeds?.forget(id);
    if (speeds?.isEmpty === true) this.#services.delete(service);
  }

  #logSlow(endpoint: EndpointId, isSlow: boolean, { speed, weight }: SpeedEstimate): void {
    this.#options.log.state(isSlow ? "endpoint_slow" : "endpoint_recovered", {
      endpoint,
      speed: Number(speed.toFixed(2)),
      weight: Number(weight.toFixed(1)),
    });
  }

  #metrics(): { endpoint: string; speed: number; weight: number }[] {
    const now = this.#options.clock.now();
    return [...this.#services.values()].flatMap((speeds) =>
      [...speeds.endpoints()].map((endpoint) => {
        const { speed, weight } = speeds.speed(endpoint, now);
        return { endpoint, speed, weight };
      })
    );
  }
}
