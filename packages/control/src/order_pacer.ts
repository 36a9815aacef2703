/**
 * Paces orders with desired states to the rate at which the weight store serves weights.
 *
 * @module
 */
import type { EndpointId, Fence } from "@wisteriapick/core";
import type { Order, OrderDone } from "@wisteriapick/wire";

/** An order is sent again after this time while the endpoint does not report that it is done. */
export const ORDER_RESEND_MS = 5_000;

/** State that an endpoint should run. */
export type DesiredState = Omit<Order, "kind" | "fence">;

/** Options of {@link OrderPacer}. */
export interface OrderPacerOptions {
  /** Weight fetches that may start per second. */
  readonly fetchesPerSecond?: number;
  /** Endpoints that may load weights at the same time. */
  readonly maxConcurrentLoads?: number;
}

interface PacedOrder {
  readonly desired: DesiredState;
  /** Monotonic time of the last order sent, or `null`. */
  sentMs: number | null;
  /** Whether the first order was sent; it starts a fetch of weights, while sending it again does not. */
  hasFetched: boolean;
  isDone: boolean;
}

/** Decides when orders are due, without sending them: the caller sends what {@link takeDueOrders} returns. */
export class OrderPacer {
  readonly #orders = new Map<EndpointId, PacedOrder>();
  readonly #fetchesPerSecond: number;
  readonly #maxConcurrentLoads: number;
  #tokens = 1;
  #refilledAtMs: number | null = null;
  #pausedUntilMs = 0;

  constructor({ fetchesPerSecond = 1, maxConcurrentLoads = 4 }: OrderPacerOptions = {}) {
    this.#fetchesPerSecond = fetchesPerSecond;
    this.#maxConcurrentLoads = maxConcurrentLoads;
  }

  /** Sets the desired state of an endpoint. Setting the same state again has no effect. */
  setDesired(desired: DesiredState): void {
    const old = this.#orders.get(desired.endpoint);
    if (old !== undefined && sameState(old.desired, desired)) return;
    this.#orders.set(desired.endpoint, {
      desired,
      sentMs: null,
      hasFetched: false,
      isDone: false,
    });
  }

  removeEndpoint(endpoint: EndpointId): void {
    this.#orders.delete(endpoint);
  }

  /** Endpoints that do not run their desired state yet. */
  pending(): EndpointId[] {
    return [...this.#orders].filter(([, row]) => !row.isDone).map(([id]) => id);
  }

  /** Returns the orders to send now, at most one per endpoint, and counts them as sent. */
  takeDueOrders(fence: Fence, nowMs: number): Order[] {
    this.#refill(nowMs);
    const orders: Order[] = [];
    let loading = [...this.#orders.values()].filter((row) => row.hasFetched && !row.isDone).length;
    for (const row of this.#orders.values()) {
      if (row.isDone || (row.sentMs !== null && nowMs - row.sentMs < ORDER_RESEND_MS)) continue;
      if (!row.hasFetched) {
        if (
          this.#tokens < 1 || loading >= this.#maxConcurrentLoads || nowMs < this.#pausedUntilMs
        ) {
          continue;
        }
        this.#tokens--;
        loading++;
        row.hasFetched = true;
      }
      row.sentMs = nowMs;
      orders.push({ kind: "order", fence, ...row.desired });
    }
    return orders;
  }

  /** Records the state that an endpoint reports, after an order or unsolicited. */
  recordOrderDone(report: OrderDone): void {
    const row = this.#orders.get(report.endpoint);
    if (row !== undefined) row.isDone = report.ready && report.version === row.desired.version;
  }

  /** Records that the weight store rejected a fetch until `retryAfterMs` from now. */
  recordRateLimit(retryAfterMs: number, nowMs: number): void {
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, nowMs + retryAfterMs);
  }

  #refill(nowMs: number): void {
    const elapsed = this.#refilledAtMs === null ? 0 : nowMs - this.#refilledAtMs;
    this.#refilledAtMs = nowMs;
    this.#tokens = Math.min(1, this.#tokens + elapsed * this.#fetchesPerSecond / 1_000);
  }
}

function sameState(a: DesiredState, b: DesiredState): boolean {
  return a.version === b.version && a.model === b.model && a.role === b.role &&
    a.adapters.join() === b.adapters.join();
}
