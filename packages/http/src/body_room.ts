/**
 * Reads the bodies of requests within the memory that all of them share.
 *
 * Load pattern: hundreds of bodies that are each within their own limit, most of which stop before their end, or come in
 * chunks of one byte.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { ByteBuffer, type Clock, type Refusal, WpFailure } from "@wisteriapick/core";
import { type MemoryBudget, StalledBodies } from "@wisteriapick/policy";
import type { BoundedConnections } from "./bounded_connections.ts";

/** Options of {@link BodyRoom}. */
export interface BodyRoomOptions {
  readonly budget: MemoryBudget;
  readonly clock: Clock;
  /** The connections on which the requests arrive. */
  readonly connections: BoundedConnections;
  /** Called for a body that was stalled and is refused, so that others have room. */
  readonly onRefused?: () => void;
}

/** Time after which a caller without room may try again, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/**
 * Reads bodies.
 *
 * @example
 * ```ts
 * const body = await room.read(req, res, { maxBytes: 524_288 });
 * ```
 */
export class BodyRoom {
  readonly #options: BodyRoomOptions;
  readonly #stalled = new StalledBodies();

  constructor(options: BodyRoomOptions) {
    this.#options = options;
  }

  /**
   * Reads a body of at most `maxBytes`. Its room is given back when the response closes.
   *
   * @throws WpFailure of type `refused`: `request_too_large`; `memory_pressure` if there is no room, or if it was stalled
   * and others needed its room; `cancelled` if the caller has left.
   */
  read(
    req: IncomingMessage,
    res: ServerResponse,
    { maxBytes }: { readonly maxBytes: number },
  ): Promise<Buffer> {
    const { budget, clock, connections, onRefused } = this.#options;
    budget.allowBodies(maxBytes);
    return new Promise((resolve, reject) => {
      let body = new ByteBuffer();
      let taken = 0;
      let isOver = false;
      const release = () => {
        const held = taken;
        taken = 0;
        budget.releaseBody(held);
        return held;
      };
      const end = () => {
        if (isOver) return false;
        isOver = true;
        progress.end();
        return true;
      };
      const fail = (err: Error) => {
        if (!end()) return;
        body = new ByteBuffer();
        req.resume();
        reject(err);
      };
      const progress = this.#stalled.add(clock.now(), () => {
        onRefused?.();
        fail(refusalOf("memory_pressure", "the body was stalled while others needed its room"));
        return release();
      });
      req.on("data", (chunk: Buffer) => {
        connections.recordChunk(req);
        if (isOver) return;
        const size = taken + chunk.length;
        if (size > maxBytes) {
          const message = `the request body is larger than ${maxBytes} bytes`;
          return fail(refusalOf("request_too_large", message));
        }
        if (!this.#take(chunk.length, size)) {
          return fail(refusalOf("memory_pressure", "there is no memory for the request's body"));
        }
        taken = size;
        progress.record(size, clock.now());
        body.append(chunk);
      });
      req.once("end", () => end() && resolve(body.bytes()));
      req.once("error", fail);
      res.once("close", () => {
        fail(refusalOf("cancelled", "the caller left before the end of its body"));
        body = new ByteBuffer();
        release();
      });
    });
  }

  /** Refuses the request whose body has been stalled for the longest time, if there is one. */
  refuseLongestStalled(): void {
    this.#stalled.makeRoom(1, this.#options.clock.now());
  }

  /** Takes room for more of a body; stalled ones are refused for it. */
  #take(bytes: number, bodyBytes: number): boolean {
    const { budget, clock } = this.#options;
    if (budget.takeBody(bytes, bodyBytes)) return true;
    this.#stalled.makeRoom(bytes, clock.now());
    return budget.takeBody(bytes, bodyBytes);
  }
}

function refusalOf(
  type: "cancelled" | "memory_pressure" | "request_too_large",
  message: string,
): WpFailure {
  const refusal: Refusal = type === "memory_pressure"
    ? { type, message, notRun: true, retryAfterMs: RETRY_AFTER_MS }
    : { type, message, notRun: true };
  return new WpFailure({ type: "refused", message, refusal });
}
