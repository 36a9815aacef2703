/**
 * Delays the end of a time limit until what has arrived by then is known.
 *
 * Load pattern: a host that stalls for longer than a time limit. Node.js runs the timers that are due at the end of a
 * stall before it polls connections, so that a connection that opened long before would count as not opened in time.
 *
 * @module
 */
import type { Undo } from "@wisteriapick/core";

/**
 * Calls `fn` once after connections have been polled, unless it is undone before.
 *
 * @example
 * ```ts
 * setTimeout(() => afterPoll(() => socket.connecting && socket.destroy()), limitMs);
 * ```
 */
export function afterPoll(fn: () => void): Undo {
  let isStopped = false;
  // The first one may run in the iteration of the loop that has polled already.
  setImmediate(() =>
    setImmediate(() => {
      if (!isStopped) fn();
    })
  );
  return () => {
    isStopped = true;
  };
}
