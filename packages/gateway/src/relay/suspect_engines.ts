/**
 * Keeps generations away from engines that broke off a connection, at all gateways and for a short time.
 *
 * Load pattern: an engine goes down and comes up again within seconds, and is registered all the while. It has no runs,
 * so that every gateway prefers it, and each one loses generations there that must not be repeated. Its report may be
 * answered meanwhile, so that only time shows that it is up.
 *
 * @module
 */
import type { EndpointId, Undo } from "@wisteriapick/core";
import type { PeerGroup } from "../peers/peer_group.ts";
import type { RelayContext } from "./context.ts";

/** Options of {@link SuspectEngines}. */
export interface SuspectEnginesOptions {
  readonly ctx: RelayContext;
  readonly network: PeerGroup;
}

/** First pause, in milliseconds. It doubles up to the longest one while an engine breaks off connections after it. */
const MIN_PAUSE_MS = 1_000;
const MAX_PAUSE_MS = 4_000;
/** Time after a pause in which an engine has to break off a connection again for a longer one, in milliseconds. */
const RELAPSE_MS = 5_000;
/** Engines that are remembered; the one that was paused longest ago is forgotten first. */
const MAX_REMEMBERED = 1_024;
/** Protocol version from which on gateways understand the message. */
const SINCE_VERSION = 6;

interface Pause {
  readonly untilMs: number;
  readonly pauseMs: number;
}

/** The engines that broke off a connection of any gateway lately. */
export class SuspectEngines {
  readonly #options: SuspectEnginesOptions;
  readonly #pauses = new Map<EndpointId, Pause>();
  readonly #undo: Undo;

  constructor(options: SuspectEnginesOptions) {
    this.#options = options;
    this.#undo = options.network.registerHandler("endpoint_suspect", (peer, { endpoint }) => {
      this.#pause(endpoint, peer);
    });
  }

  close(): void {
    this.#undo();
  }

  /** Records that an engine broke off a connection of this gateway, and tells the others once for each pause. */
  record(id: EndpointId): void {
    const { network } = this.#options;
    if (!this.#pause(id, network.name)) return;
    for (const { name, protocolVersion } of network.linked()) {
      if (protocolVersion < SINCE_VERSION) continue;
      network.send(name, { kind: "endpoint_suspect", endpoint: id });
    }
  }

  /** Returns whether the engine was not paused already. */
  #pause(id: EndpointId, reportedBy: string): boolean {
    const { ctx } = this.#options;
    const endpoint = ctx.upstreams.get(id);
    const row = ctx.fleet.endpoints.get(id);
    if (endpoint === null || row === undefined || row.phase === "leaving") return false;
    if ((ctx.fleet.routes?.service(row.record.service)?.engine ?? null) === null) return false;
    const now = ctx.clock.now();
    const known = this.#pauses.get(id);
    if (known !== undefined && now < known.untilMs) return false;
    const isRelapse = known !== undefined && now - known.untilMs < RELAPSE_MS;
    const pauseMs = isRelapse ? Math.min(MAX_PAUSE_MS, 2 * known.pauseMs) : MIN_PAUSE_MS;
    this.#pauses.delete(id);
    this.#pauses.set(id, { untilMs: now + pauseMs, pauseMs });
    if (this.#pauses.size > MAX_REMEMBERED) this.#pauses.delete(this.#pauses.keys().next().value!);
    endpoint.pauseUntil(now + pauseMs);
    ctx.log.state("engine_suspect", { endpoint: id, reportedBy, pauseMs });
    return true;
  }
}
