/**
 * Checks fencing numbers in front of an endpoint. It keeps a paused lease holder from doing harm where the
 * endpoint itself ignores the number.
 *
 * @module
 */
import { type Fence, fence, raise } from "@wisteriapick/core";
import type { Order } from "@wisteriapick/wire";

/** What an endpoint is observed to run. */
export interface ObservedState {
  readonly version: string;
  readonly model: string;
  readonly adapters: readonly string[];
  readonly role: string;
  readonly ready: boolean;
}

/** Whether the observed state is what the order asks for. */
export function matchesOrder(order: Order, observed: ObservedState): boolean {
  return order.version === observed.version && order.model === observed.model &&
    order.role === observed.role && order.adapters.length === observed.adapters.length &&
    order.adapters.every((a) => observed.adapters.includes(a));
}

/**
 * One endpoint's gate at its side. Orders reach the endpoint one at a time, and only with the highest fencing
 * number seen.
 *
 * @example
 * ```ts
 * const gate = new FenceGate();
 * gate.learn(await readLeaseFence(store, "service-scribe"));
 * const state = await gate.apply(order, (o) => engine.order(o));
 * ```
 */
export class FenceGate {
  #highest: Fence | null = null;
  #newest: Order | null = null;
  #tail: Promise<unknown> = Promise.resolve();

  /** The highest fencing number seen, or `null` before it was learned. */
  get highest(): Fence | null {
    return this.#highest;
  }

  /** Records a fencing number from the engine or from the lease object. */
  recordFence(known: Fence): void {
    if (this.#highest === null || known > this.#highest) this.#highest = known;
  }

  /**
   * Passes an order on to the endpoint when its turn comes. Raises `fenced` for an old number, also when a
   * newer order arrived while this one waited, and `unreachable` while no number has been learned.
   */
  async apply<T>(order: Order, send: (order: Order) => Promise<T>): Promise<T> {
    this.#check(order);
    this.recordFence(order.fence);
    this.#newest = order;
    const work = this.#tail.then(() => {
      this.#check(order);
      return send(order);
    });
    this.#tail = work.catch(() => {});
    return work;
  }

  /**
   * The order to repeat when the endpoint runs something else, `null` otherwise. An order that timed out may
   * still take effect after a newer one at an endpoint that ignores fencing numbers.
   */
  orderToResend(observed: ObservedState): Order | null {
    if (this.#newest === null || matchesOrder(this.#newest, observed)) return null;
    return this.#newest;
  }

  #check(order: Order): void {
    if (this.#highest === null) {
      raise({ type: "unreachable", message: "the fencing number is not known yet" });
    }
    if (order.fence >= this.#highest) return;
    raise({
      type: "fenced",
      message: `order with fencing number ${order.fence} after ${this.#highest}`,
      highest: this.#highest,
    });
  }
}

/** Fencing number of an endpoint that was never ordered. */
export const NO_FENCE: Fence = fence(0);
