/**
 * Coordinates copies of runs among all gateways, so that each link carries one copy at a time. For each service, one
 * gateway is the coordinator: it queues the requests of all gateways and grants them.
 *
 * @module
 */
import type { Clock, EndpointId, Undo } from "@wisteriapick/core";
import { type CopyJob, CopyPlanner, type CopyTarget } from "@wisteriapick/policy";
import type { CopyGrant, CopyRequest } from "@wisteriapick/wire";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { PeerGroup } from "./peer_group.ts";

/** A request as gateways send it to the coordinator. */
type NumberedRequest = Omit<CopyRequest, "kind">;

/** A request in the planner's queue. */
export interface QueuedCopyOrder extends CopyJob {
  readonly peer: string;
  readonly request: NumberedRequest;
}

/** A request for a grant that this gateway has open. */
export interface PendingCopyGrant {
  /** The engine to copy to; `null` without a response of the coordinator, or if the request is released. */
  readonly target: Promise<EndpointId | null>;
  /** Reports that the copy is complete or will not be made. Cancels a request that has not been granted yet. */
  release(): void;
}

/** A request of this gateway, with its state. */
interface PendingRequest {
  readonly request: NumberedRequest;
  readonly resolve: (target: EndpointId | null) => void;
  readonly undos: Undo[];
  /** Name of the gateway that coordinates the request. */
  coordinator: string;
  /** Whether the coordinator has acknowledged the request, or the request has been decided. */
  isQueued: boolean;
}

/** Options of {@link CopyCoordinator}. */
export interface CopyCoordinatorOptions {
  readonly network: PeerGroup;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Returns the engines to which a run may be copied now. */
  readonly targets: (
    request: Omit<NumberedRequest, "key">,
    isBusy: (endpoint: string) => boolean,
  ) => readonly CopyTarget[];
}

/** Time after which a gateway copies without a grant. A leaving engine is gone by then. */
const GRANT_TIMEOUT_MS = 2_500;
/**
 * Time without an acknowledgement after which another coordinator is tried: many round trips, and a tenth of the time
 * between an engine's drain notice and its end.
 */
const COORDINATOR_TIMEOUT_MS = 180;
/** Time for which a silent coordinator is passed over. */
const COORDINATOR_PAUSE_MS = 2_000;

/** Requests grants for this gateway's copies, and grants those of all gateways where it is the coordinator. */
export class CopyCoordinator {
  readonly #options: CopyCoordinatorOptions;
  readonly #planner: CopyPlanner<QueuedCopyOrder>;
  readonly #pending = new Map<number, PendingRequest>();
  readonly #silentUntilMs = new Map<string, number>();
  readonly #undos: Undo[];
  #nextKey = 1;

  constructor(options: CopyCoordinatorOptions) {
    this.#options = options;
    this.#planner = new CopyPlanner({
      findTargets: ({ request }, isBusy) => options.targets(request, isBusy),
    });
    const { network } = options;
    this.#undos = [
      network.registerHandler("copy_request", (peer, msg) => this.#onRequest(peer, msg)),
      network.registerHandler("copy_queued", (_peer, { key }) => this.#onQueued(key)),
      network.registerHandler("copy_grant", (peer, msg) => this.#onPeerGrant(peer, msg)),
      network.registerHandler("copy_done", (peer, { key }) => this.#onDone(peer, key)),
      network.registerDown((peer) => this.#onCoordinatorLost(peer)),
    ];
  }

  /** Requests a grant to copy a run. The caller must call `release` on the result. */
  request(order: Omit<NumberedRequest, "key">): PendingCopyGrant {
    const { clock } = this.#options;
    const request = { ...order, key: this.#nextKey++ };
    const { key } = request;
    const target = new Promise<EndpointId | null>((resolve) => {
      const undos = [clock.setTimer(GRANT_TIMEOUT_MS, () => this.#onGrant(key, null))];
      const pending: PendingRequest = { request, resolve, undos, coordinator: "", isQueued: false };
      this.#pending.set(key, pending);
      this.#sendToCoordinator(pending);
    });
    return { target, release: () => this.#release(key) };
  }

  #sendToCoordinator(pending: PendingRequest): void {
    const { network, clock, log } = this.#options;
    const now = clock.now();
    const silent = new Set(
      [...this.#silentUntilMs].filter(([, until]) => until > now).map(([name]) => name),
    );
    const { request } = pending;
    pending.coordinator = network.coordinatorOf(request.service, silent);
    if (pending.coordinator === network.name) {
      pending.isQueued = true;
      return this.#onRequest(pending.coordinator, request);
    }
    const sent = network.send(pending.coordinator, { kind: "copy_request", ...request });
    if (!sent) return this.#onGrant(request.key, null);
    pending.undos.push(clock.setTimer(COORDINATOR_TIMEOUT_MS, () => {
      if (pending.isQueued) return;
      this.#silentUntilMs.set(pending.coordinator, clock.now() + COORDINATOR_PAUSE_MS);
      log.state("copy_keeper_silent", { keeper: pending.coordinator, service: request.service });
      network.send(pending.coordinator, { kind: "copy_done", key: request.key });
      this.#sendToCoordinator(pending);
    }));
  }

  /** Grants queued requests that have become possible. Called each tick. */
  tick(): void {
    if (this.#planner.pendingCount > 0) this.#grantQueued();
  }

  close(): void {
    for (const undo of this.#undos) undo();
  }

  #release(key: number): void {
    const { network } = this.#options;
    const pending = this.#pending.get(key);
    if (pending === undefined) return;
    this.#onGrant(key, null);
    this.#pending.delete(key);
    if (pending.coordinator === network.name) this.#onDone(pending.coordinator, key);
    else network.send(pending.coordinator, { kind: "copy_done", key });
  }

  #onRequest(peer: string, request: NumberedRequest): void {
    this.#planner.add({
      id: orderId(peer, request.key),
      peer,
      request,
      source: request.source,
      tokens: request.promptTokens + request.producedTokens - request.heldTokens,
      isProactive: request.isAhead,
      requestedAtMs: this.#options.clock.now(),
    });
    const { network } = this.#options;
    if (peer !== network.name) network.send(peer, { kind: "copy_queued", key: request.key });
    this.#grantQueued();
  }

  #onDone(peer: string, key: number): void {
    this.#planner.remove(orderId(peer, key));
    this.#grantQueued();
  }

  #grantQueued(): void {
    const { network, clock, log } = this.#options;
    for (const { job, target } of this.#planner.grant(clock.now())) {
      const { key } = job.request;
      log.request("copy_granted", {
        gateway: job.peer,
        key,
        source: job.source,
        target: target.endpoint,
        tokens: job.tokens,
        isAhead: job.isProactive,
        peak: Number(target.peak.toFixed(3)),
        waitedMs: Math.round(clock.now() - job.requestedAtMs),
      });
      const endpoint = target.endpoint as EndpointId;
      if (job.peer === network.name) this.#onGrant(key, endpoint);
      else network.send(job.peer, { kind: "copy_grant", key, target: endpoint });
    }
  }

  #onQueued(key: number): void {
    const pending = this.#pending.get(key);
    if (pending !== undefined) pending.isQueued = true;
  }

  #onPeerGrant(peer: string, { key, target }: Omit<CopyGrant, "kind">): void {
    if (this.#pending.get(key)?.coordinator === peer) return this.#onGrant(key, target);
    // A grant that is no longer needed keeps links reserved at the coordinator until it is returned.
    this.#options.network.send(peer, { kind: "copy_done", key });
  }

  #onGrant(key: number, target: EndpointId | null): void {
    const pending = this.#pending.get(key);
    if (pending === undefined) return;
    pending.isQueued = true;
    for (const undo of pending.undos.splice(0)) undo();
    pending.resolve(target);
  }

  #onCoordinatorLost(peer: string): void {
    for (const [key, { coordinator: c }] of this.#pending) if (c === peer) this.#onGrant(key, null);
  }
}

function orderId(peer: string, key: number): string {
  return `${peer}/${key}`;
}
