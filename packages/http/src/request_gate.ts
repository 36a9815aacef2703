/**
 * Passes the bytes of one connection to the HTTP parser of Node.js, request by request.
 *
 * The parser reads all requests of the bytes that it is given, so a connection on which thousands were sent ahead would
 * begin all of them at once.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { CHUNKED_SLICE_BYTES, TURN_BYTES, TURN_CHUNKS } from "@wisteriapick/policy";
import type { TurnQueue } from "./turn_queue.ts";

/** Options of {@link RequestGate}. */
export interface RequestGateOptions {
  readonly socket: Socket;
  readonly turns: TurnQueue;
  /** Whether the account of the connection allows to read one more request. */
  readonly mayReadRequest: () => boolean;
  /** Called when the number of bytes that wait here changes, with the difference. */
  readonly onHeld: (bytes: number) => void;
  /** Called once when the connection is paused until it has responded or its caller has read. */
  readonly onPaused: () => void;
}

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const DIGIT_ZERO = 48;

/**
 * Stands between a socket and the parser. While bytes wait here, the socket is not read.
 *
 * @example
 * ```ts
 * const gate = new RequestGate({ socket, turns, mayReadRequest, onHeld, onPaused });
 * gate.begin(req); // for each request that the parser delivers
 * gate.continue(); // when a request was answered
 * ```
 */
export class RequestGate {
  readonly #options: RequestGateOptions;
  readonly #feed: (bytes: Buffer) => void;
  readonly #held: Buffer[] = [];
  /** Whether the HTTP server wants the socket to be read. */
  #isWanted = true;
  #isDiscarding = false;
  #isAttached = true;
  #hasPausedSocket = false;
  /** Whether the owner was told that the account pauses the connection. */
  #isPaused = false;
  /** The request whose body is being parsed. */
  #current: IncomingMessage | null = null;
  /** Bytes of its body that are missing; `null` if it is chunked. */
  #bodyLeft: number | null = 0;
  /** Whether the parser has a part of a head. */
  #isInsideHead = false;
  /** Characters of the line that is being scanned, without carriage returns. */
  #lineLength = 0;
  /** Whether a line since the last empty one begins with 0. */
  #hasZeroLine = false;
  /** Requests, chunks and bytes of bodies in the present turn. */
  #requests = 0;
  #chunks = 0;
  #bodyBytes = 0;

  /** Takes over the socket, to which the HTTP server listens already. */
  constructor(options: RequestGateOptions) {
    this.#options = options;
    const { socket } = options;
    const listeners = socket.listeners("data") as ((bytes: Buffer) => void)[];
    this.#feed = (bytes) => {
      for (const listener of listeners) listener.call(socket, bytes);
    };
    for (const listener of listeners) socket.off("data", listener);
    // A listener also ends the server's direct reading of the socket's handle.
    socket.on("data", this.#onData);
    socket.pause = () => {
      this.#isWanted = false;
      return Socket.prototype.pause.call(socket);
    };
    socket.resume = () => {
      this.#isWanted = true;
      if (this.#held.length === 0) return Socket.prototype.resume.call(socket);
      this.continue();
      return socket;
    };
    socket.on("drain", () => this.continue());
    socket.once("close", () => this.detach());
  }

  /** Whether bytes wait here. */
  get isHolding(): boolean {
    return this.#held.length > 0;
  }

  /** Records a request whose head was parsed. */
  begin(req: IncomingMessage): void {
    this.#requests++;
    this.#current = req;
    this.#isInsideHead = false;
    const length = req.headers["content-length"];
    this.#bodyLeft = req.headers["transfer-encoding"] === undefined ? Number(length ?? 0) : null;
  }

  /** Records a chunk of a body. */
  recordChunk(): void {
    this.#chunks++;
  }

  /** Goes on in a later turn, if bytes wait here. */
  continue(): void {
    if (this.#held.length > 0) this.#options.turns.enter(this);
  }

  /** Drops what follows. The socket is read on, as closing it with unread bytes would reset it. */
  discard(): void {
    if (this.#isDiscarding) return;
    this.#isDiscarding = true;
    this.#drop();
    if (this.#isWanted && this.#isAttached) Socket.prototype.resume.call(this.#options.socket);
  }

  /** Passes nothing on any more. */
  detach(): void {
    if (!this.#isAttached) return;
    this.#isAttached = false;
    this.#options.turns.leave(this);
    this.#options.socket.off("data", this.#onData);
    this.#drop();
  }

  takeTurn(): void {
    if (!this.#isAttached) return;
    this.#beginTurn();
    for (;;) {
      const bytes = this.#held[0];
      if (bytes === undefined) break;
      const passed = this.#pass(bytes);
      this.#options.onHeld(-passed);
      if (passed < bytes.length) {
        // What is passed on may make the owner drop what is held.
        if (this.#held.length > 0) this.#held[0] = bytes.subarray(passed);
        break;
      }
      this.#held.shift();
    }
    this.#settle();
  }

  readonly #onData = (bytes: Buffer): void => {
    if (this.#isDiscarding) return;
    let passed = 0;
    if (this.#held.length === 0) {
      this.#beginTurn();
      passed = this.#pass(bytes);
    }
    if (passed < bytes.length && !this.#isDiscarding && this.#isAttached) {
      this.#held.push(bytes.subarray(passed));
      this.#options.onHeld(bytes.length - passed);
    }
    this.#settle();
  };

  #beginTurn(): void {
    this.#requests = 0;
    this.#chunks = 0;
    this.#bodyBytes = 0;
  }

  /** Pauses the socket while bytes wait, and lets them wait for a turn unless the account is the reason. */
  #settle(): void {
    const { socket, turns } = this.#options;
    if (!this.#isAttached || this.#isDiscarding) return;
    if (this.#held.length === 0) {
      if (this.#isWanted && this.#hasPausedSocket) Socket.prototype.resume.call(socket);
      this.#hasPausedSocket = false;
      this.#isPaused = false;
      return;
    }
    this.#hasPausedSocket = true;
    Socket.prototype.pause.call(socket);
    if (this.#isWanted && this.#mayBegin()) return turns.enter(this);
    if (this.#isPaused) return;
    this.#isPaused = true;
    this.#options.onPaused();
  }

  #drop(): void {
    const bytes = this.#held.splice(0).reduce((sum, { length }) => sum + length, 0);
    if (bytes > 0) this.#options.onHeld(-bytes);
  }

  /** Whether what comes next may be parsed in some turn. A head of which the parser has a part has a time limit. */
  #mayBegin(): boolean {
    return this.#current !== null || this.#isInsideHead || this.#options.mayReadRequest();
  }

  /** Passes on what the turn allows. Returns how many bytes. */
  #pass(bytes: Buffer): number {
    let passed = 0;
    while (passed < bytes.length && this.#isWanted && this.#isAttached && !this.#isDiscarding) {
      if (!this.#isTurnOpen()) break;
      const end = this.#sliceEnd(bytes, passed);
      const current = this.#current;
      this.#feed(passed === 0 && end === bytes.length ? bytes : bytes.subarray(passed, end));
      if (current !== null && this.#current === current) {
        this.#bodyBytes += end - passed;
        if (this.#bodyLeft !== null) this.#bodyLeft -= end - passed;
      }
      passed = end;
      if (this.#current?.complete === true) this.#current = null;
    }
    return passed;
  }

  #isTurnOpen(): boolean {
    if (this.#current !== null) {
      return this.#chunks < TURN_CHUNKS && this.#bodyBytes < TURN_BYTES;
    }
    return this.#requests === 0 && this.#mayBegin();
  }

  /** End of the next bytes to pass on, which contain the end of one head at most. */
  #sliceEnd(bytes: Buffer, from: number): number {
    if (this.#current === null) {
      this.#isInsideHead = true;
      const end = this.#emptyLineEnd(bytes, { from, to: bytes.length });
      if (end === null) return bytes.length;
      this.#isInsideHead = false;
      return end;
    }
    if (this.#bodyLeft === null) {
      const to = Math.min(bytes.length, from + CHUNKED_SLICE_BYTES);
      return this.#emptyLineEnd(bytes, { from, to, afterLastChunk: true }) ?? to;
    }
    // At least one byte, should the parser have seen the end of the head elsewhere.
    return Math.min(bytes.length, from + Math.max(1, this.#bodyLeft));
  }

  /**
   * Position behind the first empty line, which ends a head; `null` if there is none. With `afterLastChunk`, only one
   * after a line that begins with 0 counts, as the last chunk does; trailer fields may be between them.
   */
  #emptyLineEnd(
    bytes: Buffer,
    { from, to, afterLastChunk = false }: {
      readonly from: number;
      readonly to: number;
      readonly afterLastChunk?: boolean;
    },
  ): number | null {
    let start = from;
    while (start < to) {
      const feed = bytes.indexOf(LINE_FEED, start);
      const hasEnd = feed >= 0 && feed < to;
      const end = hasEnd ? feed : to;
      const isReturn = end > start && bytes[end - 1] === CARRIAGE_RETURN;
      const length = end - start - (isReturn ? 1 : 0);
      if (this.#lineLength === 0 && length > 0 && bytes[start] === DIGIT_ZERO) {
        this.#hasZeroLine = true;
      }
      this.#lineLength += length;
      if (!hasEnd) return null;
      const isEmpty = this.#lineLength === 0;
      const isWanted = isEmpty && (!afterLastChunk || this.#hasZeroLine);
      if (isEmpty) this.#hasZeroLine = false;
      this.#lineLength = 0;
      start = feed + 1;
      if (isWanted) return start;
    }
    return null;
  }
}
