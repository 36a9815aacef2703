/**
 * Decides which data centres may receive new work, and what share of it one receives while it returns.
 *
 * @module
 */
import { type Clock, type DataCentreId, raise, type Rng, type Undo } from "@wisteriapick/core";
import type { ConfigView, DataCentre } from "./config_document.ts";
import { fractionOf } from "@wisteriapick/core";
import type { ConfigLog } from "./config_log.ts";
import type { Lease } from "./lease.ts";

/** Time until a returning data centre has its whole share. Its cold endpoints also limit their own load. */
export const RETURN_RAMP_MS = 120_000;
/** Share of requests that may be sent to a data centre at the start of its return. */
export const RETURN_INITIAL_SHARE = 0.02;

/**
 * Share of requests, 0 to 1, that may be sent to a data centre at Unix time `wallMs`. It grows by a constant factor,
 * because cold endpoints learn their capacity in steps proportional to their current load.
 */
export function admittedShare(dc: DataCentre, wallMs: number): number {
  if (dc.state === "in") return 1;
  if (dc.state === "out") return 0;
  const elapsedShare = Math.min(1, Math.max(0, (wallMs - dc.sinceMs) / RETURN_RAMP_MS));
  return RETURN_INITIAL_SHARE ** (1 - elapsedShare);
}

/**
 * Data centres that a request must not be sent to. The choice depends on the request's id, so that its retries
 * avoid the same data centres.
 *
 * @example
 * ```ts
 * const excluded = excludedDataCentres(view, req, clock.wall());
 * ```
 */
export function excludedDataCentres(
  view: ConfigView,
  req: string,
  wallMs: number,
): Set<DataCentreId> {
  const excluded = new Set<DataCentreId>();
  for (const dc of view.dataCentres.values()) {
    const share = admittedShare(dc, wallMs);
    if (share === 1) continue;
    if (share === 0 || fractionOf(`${dc.id}/${req}`) >= share) excluded.add(dc.id);
  }
  return excluded;
}

/** Data centres whose return has ended and that should be set to `in`. */
export function completedReturns(view: ConfigView, wallMs: number): DataCentre[] {
  return [...view.dataCentres.values()].filter((dc) =>
    dc.state === "returning" && wallMs >= dc.sinceMs + RETURN_RAMP_MS
  );
}

/** Options of {@link ReturnDuty}. */
export interface ReturnDutyOptions {
  /** The lease under which the duty runs; a fence of `null` means that this process must not write. */
  readonly lease: Pick<Lease, "fence">;
  readonly log: ConfigLog;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly who: string;
}

/** Writes the end of returns to the log, under a lease. Traffic does not depend on it, as the ramp ends by time. */
export class ReturnDuty {
  readonly #o: ReturnDutyOptions;

  constructor(options: ReturnDutyOptions) {
    this.#o = options;
  }

  start(): Undo {
    const everyMs = 5_000 * (0.8 + 0.4 * this.#o.rng.next());
    return this.#o.clock.setRepeating(everyMs, () => void this.tick().catch(() => {}));
  }

  async tick(): Promise<void> {
    const { lease, log, clock, who } = this.#o;
    if (lease.fence() === null) return;
    for (const dc of completedReturns(log.state.current(), clock.wall())) {
      await log.append({
        id: `returned/${dc.id}/${dc.sinceMs}`,
        note: { who, atMs: clock.wall(), why: "the return is complete" },
        build: (state) => {
          const due = completedReturns(state.current(), clock.wall()).some((d) => d.id === dc.id);
          if (!due) raise({ type: "invalid_change", message: `${dc.id} is no longer returning` });
          return [{ type: "set_data_centre_state", id: dc.id, state: "in", atMs: clock.wall() }];
        },
      });
    }
  }
}
