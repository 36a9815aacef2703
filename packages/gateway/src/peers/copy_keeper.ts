/**
 * Gives leave to copy runs, one at a time on each link, for all gateways: for each service one of them keeps the order.
 *
 * @module
 */
import type { Clock, EndpointId, Undo } from "@wisteriapick/core";
import { type CopyOrder, CopyPlanner, type CopyTarget } from "@wisteriapick/policy";
import type { CopyRequest } from "@wisteriapick/wire";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { PeerGroup } from "./peer_group.ts";

/** A request as gateways send it to the keeper of the order. */
type NumberedRequest = Omit<CopyRequest, "kind">;

/** A request as the planner sees it. */
export interface KeptOrder extends CopyOrder {
  readonly peer: string;
  readonly request: NumberedRequest;
}

/** A request that has been made. */
export interface AskedLeave {
  /** The engine to copy to; `null` where the keeper does not answer or cannot be reached, or leave is given up. */
  readonly target: Promise<EndpointId | null>;
  /** Says that the copy is made, or will not be. Gives up leave that has not come yet. */
  done(): void;
}

/** Options of {@link CopyKeeper}. */
export interface CopyKeeperOptions {
  readonly network: PeerGroup;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Engines to which a run may be copied now. */
  readonly targets: (
    request: Omit<NumberedRequest, "key">,
    isBusy: (endpoint: string) => boolean,
  ) => readonly CopyTarget[];
}

/** Time without an answer after which a gateway copies without leave, in milliseconds. */
const LEAVE_TIMEOUT_MS = 2_500;

/** See the module comment. */
export class CopyKeeper {
  readonly #options: CopyKeeperOptions;
  readonly #planner: CopyPlanner<KeptOrder>;
  readonly #waiting = new Map<number, (target: EndpointId | null) => void>();
  readonly #keepers = new Map<number, string>();
  readonly #undos: Undo[];
  #nextKey = 1;

  constructor(options: CopyKeeperOptions) {
    this.#options = options;
    this.#planner = new CopyPlanner({
      targets: ({ request }, isBusy) => options.targets(request, isBusy),
    });
    const { network } = options;
    this.#undos = [
      network.registerHandler("copy_request", (peer, msg) => this.#onRequest(peer, msg)),
      network.registerHandler("copy_grant", (_peer, { key, target }) => this.#onGrant(key, target)),
      network.registerHandler("copy_done", (peer, { key }) => this.#onDone(peer, key)),
      network.registerDown((peer) => this.#onKeeperLost(peer)),
    ];
  }

  /** Asks for leave to copy a run; `done` of the answer must be called. */
  ask(order: Omit<NumberedRequest, "key">): AskedLeave {
    const { network, clock } = this.#options;
    const request = { ...order, key: this.#nextKey++ };
    const keeper = network.keeperOf(request.service);
    const target = new Promise<EndpointId | null>((resolve) => {
      const stopTimer = clock.setTimer(LEAVE_TIMEOUT_MS, () => this.#onGrant(request.key, null));
      this.#waiting.set(request.key, (endpoint) => {
        stopTimer();
        resolve(endpoint);
      });
      this.#keepers.set(request.key, keeper);
      if (keeper === network.name) return this.#onRequest(keeper, request);
      const sent = network.send(keeper, { kind: "copy_request", ...request });
      if (!sent) this.#onGrant(request.key, null);
    });
    return { target, done: () => this.#done(request.key) };
  }

  /** Gives leave to what has become possible. Called each tick. */
  tick(): void {
    if (this.#planner.waiting > 0) this.#grant();
  }

  close(): void {
    for (const undo of this.#undos) undo();
  }

  #done(key: number): void {
    const { network } = this.#options;
    const keeper = this.#keepers.get(key);
    this.#keepers.delete(key);
    if (keeper === undefined) return;
    this.#onGrant(key, null);
    if (keeper === network.name) this.#onDone(keeper, key);
    else network.send(keeper, { kind: "copy_done", key });
  }

  #onRequest(peer: string, request: NumberedRequest): void {
    this.#planner.add({
      id: orderId(peer, request.key),
      peer,
      request,
      source: request.source,
      tokens: request.promptTokens + request.producedTokens - request.heldTokens,
      isAhead: request.isAhead,
      requestedAtMs: this.#options.clock.now(),
    });
    this.#grant();
  }

  #onDone(peer: string, key: number): void {
    this.#planner.remove(orderId(peer, key));
    this.#grant();
  }

  #grant(): void {
    const { network, clock, log } = this.#options;
    for (const { order, target } of this.#planner.grant(clock.now())) {
      const { key } = order.request;
      log.request("copy_granted", {
        gateway: order.peer,
        key,
        source: order.source,
        target: target.endpoint,
        tokens: order.tokens,
        peak: Number(target.peak.toFixed(3)),
        waitedMs: Math.round(clock.now() - order.requestedAtMs),
      });
      const endpoint = target.endpoint as EndpointId;
      if (order.peer === network.name) this.#onGrant(key, endpoint);
      else network.send(order.peer, { kind: "copy_grant", key, target: endpoint });
    }
  }

  #onGrant(key: number, target: EndpointId | null): void {
    const resolve = this.#waiting.get(key);
    this.#waiting.delete(key);
    resolve?.(target);
  }

  #onKeeperLost(peer: string): void {
    for (const [key, keeper] of this.#keepers) if (keeper === peer) this.#onGrant(key, null);
  }
}

function orderId(peer: string, key: number): string {
  return `${peer}/${key}`;
}
