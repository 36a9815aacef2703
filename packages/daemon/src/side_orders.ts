/**
 * Orders to the endpoint. A paused lease holder's late order is refused by its fencing number.
 *
 * @module
 */
import {
  type Clock,
  type EndpointId,
  type Fence,
  fence,
  type Refusal,
  type RefusalReason,
  toWpError,
  versionId,
} from "@wisteriapick/core";
import { FenceGate } from "@wisteriapick/control";
import type { EngineState, ModelEngine } from "@wisteriapick/clients";
import type { LinkStream, Message, Order, StreamHandler } from "@wisteriapick/wire";
import { IGNORE_STREAM } from "./side_context.ts";

/** Reads the highest fencing number ever given out for this endpoint, for example from the lease object. */
export type ReadHighestFence = () => Promise<Fence>;

/** Parts of {@link SideOrders}. */
export interface SideOrdersOptions {
  readonly endpoint: EndpointId;
  readonly engine: ModelEngine;
  readonly clock: Clock;
  readonly readHighestFence?: ReadHighestFence;
  /** Wait before the fencing number is asked for again. */
  readonly retryMs?: number;
  /** Called after each order that the engine took. */
  onOrderApplied?(): void;
}

/** Takes orders for one endpoint, one at a time. */
export class SideOrders {
  readonly #o: SideOrdersOptions;
  readonly #gate = new FenceGate();
  #stopped = false;

  constructor(options: SideOrdersOptions) {
    this.#o = options;
  }

  /** The highest fencing number seen; `null` until it has been learned. */
  get highestFence(): Fence | null {
    return this.#gate.highestFence;
  }

  /** Learns the fencing number; no order is accepted before. */
  async loadHighestFence(): Promise<void> {
    while (!this.#stopped && this.#gate.highestFence === null) {
      try {
        const highest = await this.#queryHighestFence();
        if (highest !== null) return this.#gate.recordFence(highest);
      } catch {
        // Neither source answers at present; both are asked again.
      }
      await this.#o.clock.sleep(this.#o.retryMs ?? 500);
    }
  }

  stop(): void {
    this.#stopped = true;
  }

  onOrder(order: Order, stream: LinkStream): StreamHandler {
    void this.#execute(order).then((response) => {
      stream.send(response);
      stream.end();
    });
    return IGNORE_STREAM;
  }

  /** Repeats the newest order where the endpoint runs something else, for example after a late older one. */
  async reconcile(observed: EngineState): Promise<void> {
    const order = this.#gate.orderToResend(observed);
    if (order !== null) await this.#execute(order);
  }

  async #queryHighestFence(): Promise<Fence | null> {
    const [recorded, state] = await Promise.all([
      this.#o.readHighestFence?.() ?? null,
      this.#o.engine.state(),
    ]);
    if (recorded === null && state.highestFence === undefined) return null;
    return fence(Math.max(recorded ?? 0, state.highestFence ?? 0));
  }

  async #execute(order: Order): Promise<Message> {
    if (order.endpoint !== this.#o.endpoint) {
      return fail("invalid_request", `this side owns ${this.#o.endpoint}`);
    }
    if (this.#gate.highestFence === null) {
      return fail("side_not_ready", "the highest fencing number is not known yet");
    }
    try {
      const state = await this.#gate.apply(order, (next) => this.#send(next));
      this.#o.onOrderApplied?.();
      return {
        kind: "order_done",
        endpoint: order.endpoint,
        version: versionId(state.version),
        ready: state.ready,
        highestFence: this.#gate.highestFence,
      };
    } catch (e) {
      const err = toWpError(e);
      if (err.type !== "fenced") return fail("engine_failed", "the engine did not take the order");
      this.#gate.recordFence(fence(err.highest));
      return fail("fenced", `fencing number ${err.highest} has been seen`);
    }
  }

  #send({ fence, version, model, adapters, role }: Order): Promise<EngineState> {
    return this.#o.engine.order({ fence, version, model, adapters, role });
  }
}

function fail(type: RefusalReason, message: string): Message {
  const refusal: Refusal = { type, message, notRun: type === "engine_failed" ? "unknown" : true };
  return { kind: "fail", refusal };
}
