/**
 * Sends desired states to endpoints, paced to the rate at which the weight store gives out weights.
 *
 * @module
 */
import type { EndpointId, Fence } from "@wisteriapick/core";
import type { Order, OrderDone } from "@wisteriapick/wire";

/** An order without answer is repeated after this. */
export const ORDER_RESEND_MS = 5_000;

/** What an endpoint should run. */
export type DesiredState = Omit<Order, "kind" | "fence">;

/** Options of {@link OrderPacer}. */
export interface OrderPacerOptions {
  /** Weight fetches started per second. */
  readonly fetchesPerSecond?: number;
  /** Endpoints that may load at the same time. */
  readonly maxConcurrentLoads?: number;
}

interface Row {
  readonly desired: DesiredState;
  /** Monotonic time of the last order sent, or `null`. */
  sentMs: number | null;
  /** The first order of a desired state costs a fetch; its repetitions do not. */
  fetched: boolean;
  done: boolean;
}

/** Pure: the caller sends what {@link takeDueOrders} returns. */
export class OrderPacer {
  readonly #rows = new Map<EndpointId, Row>();
  readonly #fetchesPerSecond: number;
  readonly #maxConcurrentLoads: number;
  #tokens = 1;
  #filledMs: number | null = null;
  #pausedUntilMs = 0;

  constructor({ fetchesPerSecond = 1, maxConcurrentLoads = 4 }: OrderPacerOptions = {}) {
    this.#fetchesPerSecond = fetchesPerSecond;
    this.#maxConcurrentLoads = maxConcurrentLoads;
  }

  /** Sets what an endpoint should run. Setting the same state again changes nothing. */
  setDesired(desired: DesiredState): void {
    const old = this.#rows.get(desired.endpoint);
    if (old !== undefined && sameState(old.desired, desired)) return;
    this.#rows.set(desired.endpoint, { desired, sentMs: null, fetched: false, done: false });
  }

  removeEndpoint(endpoint: EndpointId): void {
    this.#rows.delete(endpoint);
  }

  /** Endpoints that do not run what they should. */
  pending(): EndpointId[] {
    return [...this.#rows].filter(([, r]) => !r.done).map(([id]) => id);
  }

  /** Orders to send now, at most one per endpoint. */
  takeDueOrders(fence: Fence, nowMs: number): Order[] {
    this.#refill(nowMs);
    const orders: Order[] = [];
    let loading = [...this.#rows.values()].filter((r) => r.fetched && !r.done).length;
    for (const row of this.#rows.values()) {
      if (row.done || (row.sentMs !== null && nowMs - row.sentMs < ORDER_RESEND_MS)) continue;
      if (!row.fetched) {
        if (
          this.#tokens < 1 || loading >= this.#maxConcurrentLoads || nowMs < this.#pausedUntilMs
        ) {
          continue;
        }
        this.#tokens--;
        loading++;
        row.fetched = true;
      }
      row.sentMs = nowMs;
      orders.push({ kind: "order", fence, ...row.desired });
    }
    return orders;
  }

  /** Takes in what an endpoint reports, after an order or unasked. */
  recordOrderDone(done: OrderDone): void {
    const row = this.#rows.get(done.endpoint);
    if (row !== undefined) row.done = done.ready && done.version === row.desired.version;
  }

  /** Records that the weight store asked to wait. */
  recordRateLimit(retryAfterMs: number, nowMs: number): void {
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, nowMs + retryAfterMs);
  }

  #refill(nowMs: number): void {
    const elapsed = this.#filledMs === null ? 0 : nowMs - this.#filledMs;
    this.#filledMs = nowMs;
    this.#tokens = Math.min(1, this.#tokens + elapsed * this.#fetchesPerSecond / 1_000);
  }
}

function sameState(a: DesiredState, b: DesiredState): boolean {
  return a.version === b.version && a.model === b.model && a.role === b.role &&
    a.adapters.join() === b.adapters.join();
}
