/**
 * Binds addresses that may be in use for a while, as by a predecessor of this process that has not ended yet, or that the
 * host does not have yet.
 *
 * @module
 */
import { type Clock, toWpError } from "@wisteriapick/core";
import type { DecisionLog } from "../observe/decision_log.ts";

/** Options of {@link bindAddress}. */
export interface BindOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** What is to be served at the address, for the log. */
  readonly what: string;
  /** Whether the address is no longer needed, as the process stops. */
  readonly isStopped: () => boolean;
  /** Time for which an address that is in use is tried again, in milliseconds. */
  readonly retryForMs?: number;
}

const RETRY_DELAY_MS = 200;
/** Longer than the grace period in which a predecessor ends. */
const RETRY_FOR_MS = 15_000;

/**
 * Calls `listen` until the address can be bound, or is no longer needed.
 *
 * @throws the error of the last call, if it is another one than that the address is in use or not there yet, or that
 * for too long.
 *
 * @example
 * ```ts
 * await bindAddress(() => server.listen(), { clock, log, what: "callers", isStopped: () => false });
 * ```
 */
export async function bindAddress(
  listen: () => Promise<void>,
  { clock, log, what, isStopped, retryForMs = RETRY_FOR_MS }: BindOptions,
): Promise<void> {
  const startedAtMs = clock.now();
  let isLogged = false;
  while (!isStopped()) {
    try {
      await listen();
      if (isLogged) log.state("address_bound", { what, afterMs: clock.now() - startedAtMs });
      return;
    } catch (e) {
      if (!mayBecomeFree(e) || clock.now() - startedAtMs >= retryForMs) throw e;
      if (!isLogged) log.state("address_in_use", { what, err: toWpError(e) });
      isLogged = true;
    }
    await clock.sleep(RETRY_DELAY_MS);
  }
}

/** The address is in use, or the host does not have it, as while it sets up its network. */
const RETRIED_CODES: ReadonlySet<string | undefined> = new Set(["EADDRINUSE", "EADDRNOTAVAIL"]);

/** Whether an error, or its cause, says that the address cannot be bound for now. */
function mayBecomeFree(e: unknown): boolean {
  if (!(e instanceof Error)) return false;
  return RETRIED_CODES.has((e as NodeJS.ErrnoException).code) || mayBecomeFree(e.cause);
}
