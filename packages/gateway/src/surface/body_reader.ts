/**
 * Reads the bodies of callers' requests within the memory budget.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { ByteBuffer, type Clock } from "@wisteriapick/core";
import type { CallerLimitEvent } from "@wisteriapick/http";
import {
  type BodyProgress,
  type MemoryBudget,
  SMALL_BODY_BYTES,
  StalledBodies,
} from "@wisteriapick/policy";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { InboundHead } from "../relay/inbound.ts";
import { BodyQueue } from "./body_queue.ts";
import type { CallerConnections } from "./caller_connections.ts";
import type { HttpResponder } from "./http_responder.ts";
import type { Exchange } from "./unanswered.ts";

/** What reading a body needs to know of its request. */
export interface BodyRequest {
  readonly exchange: Exchange;
  readonly head: InboundHead;
  readonly responder: HttpResponder;
  readonly maxBytes: number;
}

/** Options of {@link BodyReader}. */
export interface BodyReaderOptions {
  readonly budget: MemoryBudget;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly connections: CallerConnections;
  /** Called as bytes of bodies arrive, with their number. */
  readonly onBytes: (bytes: number) => void;
  readonly onLimit: (event: CallerLimitEvent) => void;
  /** Whether a request has neither been passed on nor refused. */
  readonly isUnread: (res: ServerResponse) => boolean;
  /** Does something for one request. An error ends that request only. */
  readonly contain: (req: IncomingMessage, res: ServerResponse, work: () => void) => void;
  /** Refuses a request whose body is larger than allowed. */
  readonly onTooLarge: (req: IncomingMessage, res: ServerResponse) => void;
  /** Refuses a request for whose body there is no room. */
  readonly onNoRoom: (req: IncomingMessage, res: ServerResponse, body: BodyRequest) => void;
}

/** Longest time for which a large body waits for room before the request is refused, in milliseconds. */
const MAX_ROOM_WAIT_MS = 500;

/**
 * Reads bodies. Those for which there is no room wait at their callers, and stalled ones are refused for them.
 *
 * @example
 * ```ts
 * bodies.read(req, res, { exchange, head, responder, maxBytes }, (body) => handle(head, body));
 * ```
 */
export class BodyReader {
  readonly #options: BodyReaderOptions;
  readonly #queue: BodyQueue;
  readonly #stalled = new StalledBodies();

  constructor(options: BodyReaderOptions) {
    this.#options = options;
    const { budget, clock } = options;
    const makeRoom = (bytes: number) => this.#refuseStalled(bytes);
    this.#queue = new BodyQueue({ budget, clock, maxWaitMs: MAX_ROOM_WAIT_MS, makeRoom });
  }

  /** Number of requests that wait for room for their bodies. */
  get waiting(): number {
    return this.#queue.size;
  }

  /**
   * Reads the complete body: only complete requests are forwarded, and a run may resume elsewhere with the body. Calls
   * `onBody` with it, or with `null` if the request has none.
   */
  read(
    req: IncomingMessage,
    res: ServerResponse,
    options: BodyRequest,
    onBody: (body: Buffer | null) => void,
  ): void {
    const length = req.headers["content-length"];
    if (length === undefined && req.headers["transfer-encoding"] === undefined) {
      req.resume();
      return onBody(null);
    }
    const connection = this.#options.connections.of(req.socket);
    if (connection !== undefined) connection.reading = options.exchange;
    options.exchange.stage = "reading_body";
    const expectedBytes = Number(length ?? 0);
    // What a slow caller has not sent yet takes no room from the small bodies of others.
    if (expectedBytes <= SMALL_BODY_BYTES) {
      return this.#collect(req, res, { ...options, expectedBytes: 0 }, onBody);
    }
    // Unread, the body waits at its caller.
    const onRoom = (hasRoom: boolean) => {
      if (!this.#options.isUnread(res)) {
        if (hasRoom) this.#queue.release(expectedBytes);
        return;
      }
      if (hasRoom) return this.#collect(req, res, { ...options, expectedBytes }, onBody);
      if (connection !== undefined) connection.reading = null;
      this.drop(req);
      this.#options.onNoRoom(req, res, options);
    };
    const leave = this.#queue.enter(expectedBytes, (hasRoom) => {
      this.#options.contain(req, res, () => onRoom(hasRoom));
    });
    res.once("close", leave);
  }

  /** Reads the rest of a body without keeping it. */
  drop(req: IncomingMessage): void {
    const gate = this.#options.connections.of(req.socket)?.gate;
    req.on("data", (chunk: Buffer) => {
      this.#options.onBytes(chunk.length);
      gate?.recordChunk();
    });
    req.resume();
  }

  /** Collects a body as it arrives. Room for `expectedBytes` of it has been taken. */
  #collect(
    req: IncomingMessage,
    res: ServerResponse,
    options: BodyRequest & { readonly expectedBytes: number },
    onBody: (body: Buffer | null) => void,
  ): void {
    const { exchange, maxBytes, expectedBytes } = options;
    const { budget, clock, onBytes } = this.#options;
    const connection = this.#options.connections.of(req.socket);
    let body = new ByteBuffer({ expectedBytes });
    let size = 0;
    let taken = expectedBytes;
    let isDiscarded = false;
    let unwatch = () => {};
    let progress: BodyProgress | null = null;
    const watch = () => {
      unwatch = this.#queue.watch({
        arrivedBytes: () => size,
        giveBack: () => {
          const unused = taken - size;
          taken = size;
          return unused;
        },
      });
    };
    if (expectedBytes > 0) watch();
    const discard = () => {
      isDiscarded = true;
      unwatch();
      progress?.end();
      body = new ByteBuffer();
    };
    /** Gives back all room. Returns how many bytes. */
    const release = () => {
      const held = taken;
      taken = 0;
      this.#queue.release(held);
      return held;
    };
    res.once("close", () => {
      discard();
      release();
    });
    const refuse = () => {
      discard();
      if (connection !== undefined) connection.reading = null;
      this.#options.onNoRoom(req, res, options);
    };
    progress = this.#stalled.add(clock.now(), () => {
      this.#options.onLimit("body_refused");
      this.#options.log.request("connection_limited", {
        reason: "body_refused",
        req: options.head.requestId,
        bodyBytes: size,
        remote: req.socket.remoteAddress,
      });
      this.#options.contain(req, res, refuse);
      return release();
    });
    /** Takes room again for a body that has given back what had not arrived. */
    const waitForRest = (chunk: Buffer) => {
      const rest = expectedBytes - taken;
      req.pause();
      const leave = this.#queue.enter(rest, (hasRoom) => {
        if (isDiscarded) {
          if (hasRoom) this.#queue.release(rest);
          return;
        }
        req.resume();
        if (!hasRoom) return refuse();
        taken += rest;
        body.append(chunk);
        watch();
      });
      res.once("close", leave);
    };
    const onChunk = (chunk: Buffer) => {
      onBytes(chunk.length);
      connection?.gate.recordChunk();
      if (isDiscarded) return;
      size += chunk.length;
      exchange.bodyBytes = size;
      progress?.record(size, clock.now());
      if (size > maxBytes) {
        discard();
        return this.#options.onTooLarge(req, res);
      }
      const missing = Math.max(0, size - taken);
      if (missing > 0 && expectedBytes > 0) return waitForRest(chunk);
      if (missing > 0 && !budget.takeBody(missing, size)) {
        this.#refuseStalled(missing);
        if (!budget.takeBody(missing, size)) return refuse();
      }
      taken += missing;
      body.append(chunk);
    };
    const contain = (work: () => void) => this.#options.contain(req, res, work);
    req.on("data", (chunk: Buffer) => contain(() => onChunk(chunk)));
    req.on("end", () =>
      contain(() => {
        if (isDiscarded) return;
        unwatch();
        progress?.end();
        if (connection !== undefined) connection.reading = null;
        onBody(body.bytes());
      }));
    // The failure is on the caller's side, and the connection closes by itself.
    req.on("error", discard);
  }

  /** Refuses the request whose body has been stalled for the longest time, if there is one. */
  refuseLongestStalled(): void {
    this.#refuseStalled(1);
  }

  /** Refuses requests whose bodies are stalled, so that others have room for so many bytes. */
  #refuseStalled(bytes: number): void {
    this.#stalled.makeRoom(bytes, this.#options.clock.now());
  }
}
