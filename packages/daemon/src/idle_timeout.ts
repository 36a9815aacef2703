/**
 * Detects an event stream that stops delivering without being closed.
 *
 * @module
 */
import { type Clock, raise } from "@wisteriapick/core";

/**
 * Yields the events of `events`; fails with `timeout` when none arrives for `idleTimeoutMs`.
 *
 * @example
 * ```ts
 * for await (const ev of failOnIdle(engine.run(req), { clock, idleTimeoutMs: 2_000 })) …
 * ```
 */
export async function* failOnIdle<T>(
  events: AsyncIterable<T>,
  { clock, idleTimeoutMs }: { clock: Clock; idleTimeoutMs: number },
): AsyncIterable<T> {
  const it = events[Symbol.asyncIterator]();
  try {
    for (;;) {
      const res = await nextOrTimeout(it, clock, idleTimeoutMs);
      if (res.done) return;
      yield res.value;
    }
  } finally {
    // Not awaited: a stalled source may never settle the promise.
    void it.return?.().catch(() => {});
  }
}

function nextOrTimeout<T>(
  it: AsyncIterator<T>,
  clock: Clock,
  idleTimeoutMs: number,
): Promise<IteratorResult<T>> {
  return new Promise((resolve, reject) => {
    const cancelTimer = clock.setTimer(idleTimeoutMs, () => reject(makeIdleError(idleTimeoutMs)));
    it.next().then((res) => {
      cancelTimer();
      resolve(res);
    }, (e) => {
      cancelTimer();
      reject(e);
    });
  });
}

function makeIdleError(idleTimeoutMs: number): unknown {
  try {
    raise({ type: "timeout", message: `no event for ${idleTimeoutMs} ms` });
  } catch (e) {
    return e;
  }
}
