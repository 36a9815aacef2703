/**
 * Checks fencing numbers in front of an endpoint. Orders of a paused holder of a lease that it has lost are thus
 * rejected also where the endpoint itself ignores the number.
 *
 * @module
 */
import { type Fence, fence, raise } from "@wisteriapick/core";
import type { Order } from "@wisteriapick/wire";

/** State that an endpoint is observed to run. */
export interface ObservedState {
  readonly version: string;
  readonly model: string;
  readonly adapters: readonly string[];
  readonly role: string;
  readonly ready: boolean;
}

/** Whether the observed state matches the order. */
export function matchesOrder(order: Order, observed: ObservedState): boolean {
  return order.version === observed.version && order.model === observed.model &&
    order.role === observed.role && order.adapters.length === observed.adapters.length &&
    order.adapters.every((a) => observed.adapters.includes(a));
}

/**
 * The gate in front of one endpoint, at its side. Orders reach the endpoint one at a time, and only with a fencing
 * number that is not below the highest one seen.
 *
 * @example
 * ```ts
 * const gate = new FenceGate();
 * gate.learn(await readLeaseFence(store, "service-scribe"));
 * const state = await gate.apply(order, (o) => engine.order(o));
 * ```
 */
export class FenceGate {
  #highestFence: Fence | null = null;
  #newestOrder: Order | null = null;
  #lastSend: Promise<unknown> = Promise.resolve();

  /** The highest fencing number seen, or `null` while none is known. */
  get highestFence(): Fence | null {
    return this.#highestFence;
  }

  /** Records a fencing number reported by the engine or read from the lease object. */
  recordFence(known: Fence): void {
    if (this.#highestFence === null || known > this.#highestFence) this.#highestFence = known;
  }

  /**
   * Sends an order to the endpoint after the orders before it. Raises `fenced` for an old fencing number, also when a
   * newer order arrived while this one was queued, and `unreachable` while no fencing number is known.
   */
  async apply<T>(order: Order, send: (order: Order) => Promise<T>): Promise<T> {
    this.#check(order);
    this.recordFence(order.fence);
    this.#newestOrder = order;
    const sending = this.#lastSend.then(() => {
      this.#check(order);
      return send(order);
    });
    this.#lastSend = sending.catch(() => {});
    return sending;
  }

  /**
   * The newest order when the endpoint does not run what it states, `null` otherwise. An older order that timed out
   * may take effect after a newer one at an endpoint that ignores fencing numbers.
   */
  orderToResend(observed: ObservedState): Order | null {
    if (this.#newestOrder === null || matchesOrder(this.#newestOrder, observed)) return null;
    return this.#newestOrder;
  }

  #check(order: Order): void {
    if (this.#highestFence === null) {
      raise({ type: "unreachable", message: "the fencing number is not known yet" });
    }
    if (order.fence >= this.#highestFence) return;
    raise({
      type: "fenced",
      message: `order with fencing number ${order.fence} after ${this.#highestFence}`,
      highest: this.#highestFence,
    });
  }
}

/** Fencing number of an endpoint that has never received an order. */
export const NO_FENCE: Fence = fence(0);
