/**
 * Decides when this host's memory or link is nearly used up, so that new streams go to other hosts before those in
 * progress stall. Load pattern: the balancer sends a host with a small link or little memory more streams than it can
 * carry, while others have room; its event loop is idle, so that its delays show nothing.
 *
 * @module
 */

/** Options of {@link HostPressure}. */
export interface HostPressureOptions {
  /** Memory over which the process is killed, in bytes; `null` if unknown. */
  readonly memoryBytes: number | null;
  /** Fraction of the memory from which on new streams are shed; `null` if they never are. */
  readonly memoryFraction: number | null;
  /** Capacity of the link, in bytes per millisecond; `null` if unknown. */
  readonly linkBytesPerMs: number | null;
  /** Fraction of the link's capacity from which on new streams are shed; `null` if they never are. */
  readonly linkFraction: number | null;
}

/** What is nearly used up. */
export type ScarceResource = "memory" | "link";

/** Time over which transfers are averaged, in milliseconds: a body of some MB is no sign of a link that is too small. */
const LINK_TIME_MS = 2_000;
/** Fraction of the bound below which a resource counts as free again, so that a host does not change sides at it. */
const RELEASE_FRACTION = 0.85;
/** Time from which on a host under pressure sheds streams, in milliseconds; by then others have said how they are. */
const SETTLE_MS = 250;

/**
 * Tracks the memory and the link of this host.
 *
 * @example
 * ```ts
 * pressure.recordTransfer(chunk.length, nowMs);
 * if (pressure.shouldShed(nowMs) && canShedToOthers(peers)) sendElsewhere(req);
 * ```
 */
export class HostPressure {
  readonly #options: HostPressureOptions;
  readonly #sinceMs = new Map<ScarceResource, number>();
  /** Bytes of the last moments; they fade with {@link LINK_TIME_MS}. */
  #recentBytes = 0;
  #recentAtMs = -Infinity;

  constructor(options: HostPressureOptions) {
    this.#options = options;
  }

  /** Records the resident memory of the process. */
  recordMemory(bytes: number, nowMs: number): void {
    const { memoryBytes, memoryFraction } = this.#options;
    if (memoryBytes === null || memoryFraction === null) return;
    this.#update("memory", bytes / (memoryFraction * memoryBytes), nowMs);
  }

  /** Records bytes that have come in over the link; what is relayed goes out once more. */
  recordTransfer(bytes: number, nowMs: number): void {
    this.#fade(nowMs);
    this.#recentBytes += bytes;
  }

  /** The resources that are nearly used up. */
  scarce(nowMs: number): ScarceResource[] {
    const { linkBytesPerMs, linkFraction } = this.#options;
    if (linkBytesPerMs !== null && linkFraction !== null) {
      this.#fade(nowMs);
      const bytesPerMs = this.#recentBytes / LINK_TIME_MS;
      this.#update("link", bytesPerMs / (linkFraction * linkBytesPerMs), nowMs);
    }
    return [...this.#sinceMs.keys()];
  }

  /** Whether a resource has been scarce for long enough to know whether it is at other hosts too. */
  shouldShed(nowMs: number): boolean {
    return this.scarce(nowMs).some((resource) => nowMs - this.#sinceMs.get(resource)! >= SETTLE_MS);
  }

  #update(resource: ScarceResource, used: number, nowMs: number): void {
    const isScarce = this.#sinceMs.has(resource);
    if (!isScarce && used >= 1) this.#sinceMs.set(resource, nowMs);
    if (isScarce && used < RELEASE_FRACTION) this.#sinceMs.delete(resource);
  }

  #fade(nowMs: number): void {
    if (this.#recentAtMs !== -Infinity) {
      this.#recentBytes *= Math.exp(-Math.max(0, nowMs - this.#recentAtMs) / LINK_TIME_MS);
    }
    this.#recentAtMs = nowMs;
  }
}
