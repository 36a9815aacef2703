/**
 * Gives leave to copy runs, one at a time on each link, for all gateways: for each service one of them keeps the order.
 *
 * @module
 */
import type { Clock, EndpointId, Undo } from "@wisteriapick/core";
import { type CopyJob, CopyPlanner, type CopyTarget } from "@wisteriapick/policy";
import type { CopyGrant, CopyRequest } from "@wisteriapick/wire";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { PeerGroup } from "./peer_group.ts";

/** A request as gateways send it to the keeper of the order. */
type NumberedRequest = Omit<CopyRequest, "kind">;

/** A request as the planner sees it. */
export interface QueuedCopyOrder extends CopyJob {
  readonly peer: string;
  readonly request: NumberedRequest;
}

/** A request that has been made. */
export interface PendingCopyGrant {
  /** The engine to copy to; `null` where the keeper does not answer or cannot be reached, or leave is given up. */
  readonly target: Promise<EndpointId | null>;
  /** Says that the copy is made, or will not be. Gives up leave that has not come yet. */
  release(): void;
}

/** A request of this gateway. */
interface Asked {
  readonly request: NumberedRequest;
  readonly resolve: (target: EndpointId | null) => void;
  readonly undos: Undo[];
  keeper: string;
  /** Whether the keeper has shown that it has the request. */
  isQueued: boolean;
}

/** Options of {@link CopyCoordinator}. */
export interface CopyCoordinatorOptions {
  readonly network: PeerGroup;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Engines to which a run may be copied now. */
  readonly targets: (
    request: Omit<NumberedRequest, "key">,
    isBusy: (endpoint: string) => boolean,
  ) => readonly CopyTarget[];
}

/** Time without leave after which a gateway copies without it, in milliseconds; a leaving engine is gone by then. */
const LEAVE_TIMEOUT_MS = 2_500;
/**
 * Time without a sign of the keeper after which another one is asked, in milliseconds: many round trips, and a tenth of
 * the notice of an engine that leaves.
 */
const KEEPER_TIMEOUT_MS = 180;
/** Time for which a keeper that gave no sign is not asked, in milliseconds. */
const KEEPER_PAUSE_MS = 2_000;

/** See the module comment. */
export class CopyCoordinator {
  readonly #options: CopyCoordinatorOptions;
  readonly #planner: CopyPlanner<QueuedCopyOrder>;
  readonly #asked = new Map<number, Asked>();
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
      network.registerDown((peer) => this.#onKeeperLost(peer)),
    ];
  }

  /** Asks for leave to copy a run; `done` of the answer must be called. */
  request(order: Omit<NumberedRequest, "key">): PendingCopyGrant {
    const { clock } = this.#options;
    const request = { ...order, key: this.#nextKey++ };
    const { key } = request;
    const target = new Promise<EndpointId | null>((resolve) => {
      const undos = [clock.setTimer(LEAVE_TIMEOUT_MS, () => this.#onGrant(key, null))];
      const asked: Asked = { request, resolve, undos, keeper: "", isQueued: false };
      this.#asked.set(key, asked);
      this.#askKeeper(asked);
    });
    return { target, release: () => this.#done(key) };
  }

  #askKeeper(asked: Asked): void {
    const { network, clock, log } = this.#options;
    const now = clock.now();
    const silent = new Set(
      [...this.#silentUntilMs].filter(([, until]) => until > now).map(([name]) => name),
    );
    const { request } = asked;
    asked.keeper = network.coordinatorOf(request.service, silent);
    if (asked.keeper === network.name) {
      asked.isQueued = true;
      return this.#onRequest(asked.keeper, request);
    }
    const sent = network.send(asked.keeper, { kind: "copy_request", ...request });
    if (!sent) return this.#onGrant(request.key, null);
    asked.undos.push(clock.setTimer(KEEPER_TIMEOUT_MS, () => {
      if (asked.isQueued) return;
      this.#silentUntilMs.set(asked.keeper, clock.now() + KEEPER_PAUSE_MS);
      log.state("copy_keeper_silent", { keeper: asked.keeper, service: request.service });
      network.send(asked.keeper, { kind: "copy_done", key: request.key });
      this.#askKeeper(asked);
    }));
  }

  /** Gives leave to what has become possible. Called each tick. */
  tick(): void {
    if (this.#planner.pendingCount > 0) this.#grant();
  }

  close(): void {
    for (const undo of this.#undos) undo();
  }

  #done(key: number): void {
    const { network } = this.#options;
    const asked = this.#asked.get(key);
    if (asked === undefined) return;
    this.#onGrant(key, null);
    this.#asked.delete(key);
    if (asked.keeper === network.name) this.#onDone(asked.keeper, key);
    else network.send(asked.keeper, { kind: "copy_done", key });
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
    this.#grant();
  }

  #onDone(peer: string, key: number): void {
    this.#planner.remove(orderId(peer, key));
    this.#grant();
  }

  #grant(): void {
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
    const asked = this.#asked.get(key);
    if (asked !== undefined) asked.isQueued = true;
  }

  #onPeerGrant(peer: string, { key, target }: Omit<CopyGrant, "kind">): void {
    if (this.#asked.get(key)?.keeper === peer) return this.#onGrant(key, target);
    // Leave that is no longer waited for keeps links busy until it is given back.
    this.#options.network.send(peer, { kind: "copy_done", key });
  }

  #onGrant(key: number, target: EndpointId | null): void {
    const asked = this.#asked.get(key);
    if (asked === undefined) return;
    asked.isQueued = true;
    for (const undo of asked.undos.splice(0)) undo();
    asked.resolve(target);
  }

  #onKeeperLost(peer: string): void {
    for (const [key, { keeper }] of this.#asked) if (keeper === peer) this.#onGrant(key, null);
  }
}

function orderId(peer: string, key: number): string {
  return `${peer}/${key}`;
}
