/**
 * Divides the memory of a host between the bodies and the responses that a gateway holds, and decides when garbage is
 * collected.
 *
 * Load pattern: a host whose process is killed over a limit of memory, with all requests in progress. Hundreds of
 * callers send bodies of megabytes to endpoints that read late, or leave answers of megabytes unread. V8 counts buffers
 * outside of its heap late: many times the memory in use may be garbage before it is collected.
 *
 * @module
 */

/** Options of {@link MemoryBudget}. */
export interface MemoryBudgetOptions {
  /** Memory over which the process is killed, in MiB; `null` if there is no known limit. */
  readonly memoryMb: number | null;
}

/** What a gateway may hold, in bytes. */
export interface MemoryShares {
  /** Bodies of requests, from their first byte until their response has ended. */
  readonly bodies: number;
  /** Responses that wait for an endpoint to complete them, or for a caller to read them. */
  readonly responses: number;
  /** Buffers that are no longer used and not yet collected. */
  readonly garbage: number;
}

const MIB = 1_048_576;
/** Memory of a process with some thousand connections, without bodies and responses, in MiB. */
const PROCESS_MIB = 80;
/** Each share's fraction of the memory beyond {@link PROCESS_MIB}; the rest is for what is not counted. */
const SHARE_FRACTION = 1 / 6;
/** Smallest share, in bytes. It holds one body of the largest usual size (4 MiB). */
const MIN_SHARE_BYTES = 5 * MIB;
/** Largest share, in bytes, and that of a host without a limit. */
const MAX_SHARE_BYTES = 32 * MIB;
/** Bodies up to this size are taken as long as there is any room; larger ones leave some to them, in bytes. */
export const SMALL_BODY_BYTES = 65_536;
/** Fraction of the bodies' share that is kept for small ones. */
const SMALL_FRACTION = 0.125;
/** Largest multiple of the bodies' share that is used so that one body of the largest allowed size fits. */
const MAX_SHARE_FACTOR = 2;
/** Largest part of a response that is held until it is complete, in bytes. */
const MAX_RESPONSE_BUFFER_BYTES = 262_144;
/** The same while responses have used half of their share, in bytes: what one read of a connection brings. */
const MIN_RESPONSE_BUFFER_BYTES = 65_536;
/** Fraction of the responses' share from which on little of each is held. */
const TIGHT_FRACTION = 0.5;

/** The shares of a host's memory. */
export function sharesOf(memoryMb: number | null): MemoryShares {
  const bytes = memoryMb === null
    ? MAX_SHARE_BYTES
    : Math.floor(SHARE_FRACTION * (memoryMb - PROCESS_MIB) * MIB);
  const share = Math.min(MAX_SHARE_BYTES, Math.max(MIN_SHARE_BYTES, bytes));
  return { bodies: share, responses: share, garbage: share };
}

/**
 * Counts what a gateway holds. The caller of each method releases what it took.
 *
 * @example
 * ```ts
 * const budget = new MemoryBudget({ memoryMb: 200 });
 * if (!budget.takeBody(contentLength)) refuse();
 * budget.releaseBody(contentLength);
 * ```
 */
export class MemoryBudget {
  readonly memoryMb: number | null;
  readonly shares: MemoryShares;
  #bodies = 0;
  /** Room for bodies: their share, or more where a body of the largest allowed size would never fit in it. */
  #bodyRoom: number;
  #responses = 0;
  /** Bytes of buffers that were allocated since recent garbage was last collected. */
  #allocated = 0;
  /** Bytes of buffers that are in use for other things, as of the last collection of all garbage. */
  #usualUncounted = 0;

  constructor({ memoryMb }: MemoryBudgetOptions) {
    this.memoryMb = memoryMb;
    this.shares = sharesOf(memoryMb);
    this.#bodyRoom = this.shares.bodies;
  }

  /** Makes room for one body of the largest allowed size, in bytes, up to {@link MAX_SHARE_FACTOR} shares. */
  allowBodies(maxBytes: number): void {
    const { bodies } = this.shares;
    const needed = Math.ceil(maxBytes / (1 - SMALL_FRACTION));
    this.#bodyRoom = Math.min(MAX_SHARE_FACTOR * bodies, Math.max(bodies, needed));
  }

  /** Bytes of bodies that are held or have been promised room. */
  get bodyBytes(): number {
    return this.#bodies;
  }

  /** Bytes of responses that are held. */
  get responseBytes(): number {
    return this.#responses;
  }

  /** Whether a body of this size can be held while no other one is. */
  canHold(bytes: number): boolean {
    return bytes <= this.#bodyLimit(bytes);
  }

  /**
   * Takes room for a body, or for more of it, in bytes. Returns false if there is none now. `bodyBytes` is the size of
   * the body with what was taken before, so that a large one in small pieces takes none that is kept for small bodies.
   */
  takeBody(bytes: number, bodyBytes = bytes): boolean {
    if (this.#bodies + bytes > this.#bodyLimit(bodyBytes)) return false;
    this.#bodies += bytes;
    return true;
  }

  /** Gives back the room of a body, in bytes. */
  releaseBody(bytes: number): void {
    this.#bodies -= bytes;
  }

  /** Whether requests can be taken, as there is room for their responses. */
  get hasRoomForResponses(): boolean {
    return this.#responses < this.shares.responses;
  }

  /** Bytes of one response that may be held until it is complete. */
  get responseBufferBytes(): number {
    const isTight = this.#responses >= TIGHT_FRACTION * this.shares.responses;
    return isTight ? MIN_RESPONSE_BUFFER_BYTES : MAX_RESPONSE_BUFFER_BYTES;
  }

  /** Counts bytes of a response that are held from now on. A response that has begun is never refused room. */
  takeResponse(bytes: number): void {
    this.#responses += bytes;
  }

  releaseResponse(bytes: number): void {
    this.#responses -= bytes;
  }

  /**
   * Counts a buffer that was allocated for bytes that arrived. Returns whether recently allocated buffers are to be
   * collected now.
   */
  recordAllocated(bytes: number): boolean {
    this.#allocated += bytes;
    if (this.#allocated < this.shares.garbage) return false;
    this.#allocated = 0;
    return true;
  }

  /** Whether all garbage is to be collected, where buffers take so many bytes after a collection of recent ones. */
  needsFullCollection(bufferBytes: number): boolean {
    return this.#uncounted(bufferBytes) - this.#usualUncounted >= this.shares.garbage;
  }

  /** Records how many bytes buffers take after a collection of all garbage. */
  recordCollected(bufferBytes: number): void {
    this.#usualUncounted = this.#uncounted(bufferBytes);
  }

  /** Bytes of buffers that are neither of bodies nor of responses. */
  #uncounted(bufferBytes: number): number {
    return bufferBytes - this.#bodies - this.#responses;
  }

  #bodyLimit(bytes: number): number {
    return bytes <= SMALL_BODY_BYTES ? this.#bodyRoom : (1 - SMALL_FRACTION) * this.#bodyRoom;
  }
}
