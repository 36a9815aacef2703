/**
 * Records to which engines a run was sent, and decides from the ends of these sends whether it may have run.
 *
 * Load pattern: engines that refuse, crash and leave while they have runs. A stream that may have run is not run twice
 * unless it may be resumed, and its caller is never told that it did not run.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";

/**
 * Why the segment of a run at one engine ended before the run did: `not_run` where the engine proved that it did not take
 * the request; `withdrawn` where it was no longer allowed when it could be sent; `unsendable` where its form cannot be
 * sent; `failed` where the engine responded with a failure that is held back, as the request may be repeated.
 */
export type RunLossType =
  | "not_run"
  | "unreachable"
  | "unsendable"
  | "misdirected"
  | "withdrawn"
  | "lost"
  | "failed";

/** Whether the request has reached the engine, by the reason for which its segment there ended. */
const HAS_ARRIVED: { readonly [type in RunLossType]: boolean } = {
  not_run: true,
  misdirected: true,
  lost: true,
  failed: true,
  unreachable: false,
  unsendable: false,
  withdrawn: false,
};

/** Reasons for the end of a segment after which its engine may have run the request. */
const MAY_HAVE_RUN: ReadonlySet<RunLossType> = new Set(["lost", "failed"]);

/** An engine as the record of a run's sends needs it. */
interface Engine {
  readonly id: EndpointId;
}

/**
 * The sends of one run.
 *
 * @example
 * ```ts
 * attempts.recordSent(engine);
 * attempts.recordLoss(engine.id, "not_run");
 * attempts.mayHaveRun({ isConnecting: false }); // false
 * ```
 */
export class RunAttempts<E extends Engine> {
  /** Engines that may have run the request. */
  readonly #engines: E[] = [];
  readonly #refusedBy = new Set<EndpointId>();
  #sends = 0;
  #arrivals = 0;

  /** Number of times that the run was sent. */
  get sends(): number {
    return this.#sends;
  }

  /** Number of times that the run has reached an engine, including those that refused it. */
  get arrivals(): number {
    return this.#arrivals;
  }

  /** Engines that may have run the request, in the order in which it was sent to them. */
  get engines(): readonly E[] {
    return this.#engines;
  }

  /** Engines that have refused the run or may have run it, which do not get it again. */
  get tried(): ReadonlySet<EndpointId> {
    return new Set([...this.#refusedBy, ...this.#engines.map(({ id }) => id)]);
  }

  /** Records that the run is sent to an engine. */
  recordSent(engine: E): void {
    this.#engines.push(engine);
    this.#sends++;
    this.#arrivals++;
  }

  /** Records why the last send, which was to the engine `id`, ended before the run did. */
  recordLoss(id: EndpointId, type: RunLossType): void {
    if (!MAY_HAVE_RUN.has(type)) this.#engines.pop();
    if (!HAS_ARRIVED[type]) this.#arrivals--;
    if (type === "not_run") this.#refusedBy.add(id);
  }

  /** Whether an engine may have run the request; `isConnecting` while the last send has not left this process. */
  mayHaveRun({ isConnecting }: { readonly isConnecting: boolean }): boolean {
    return this.#engines.length > (isConnecting ? 1 : 0);
  }

  /** Number of engines that may have run the request, except for those that have certainly ended since. */
  reached(hasEnded: (engine: E) => boolean): number {
    return new Set(this.#engines.filter((e) => !hasEnded(e)).map(({ id }) => id)).size;
  }
}
