/**
 * Notices that an event stream has gone silent without being closed.
 *
 * @module
 */
import { type Clock, raise } from "@wisteriapick/core";

/**
 * Yields the events of `events`; fails with `timeout` when none arrives for `silenceMs`.
 *
 * @example
 * ```ts
 * for await (const ev of failOnSilence(engine.run(req), { clock, silenceMs: 2_000 })) …
 * ```
 */
export async function* failOnIdle<T>(
  events: AsyncIterable<T>,
  { clock, idleTimeoutMs: silenceMs }: { clock: Clock; idleTimeoutMs: number },
): AsyncIterable<T> {
  const it = events[Symbol.asyncIterator]();
  try {
    for (;;) {
      const res = await nextOrSilence(it, clock, silenceMs);
      if (res.done) return;
      yield res.value;
    }
  } finally {
    // Not awaited: a silent source may never answer.
    void it.return?.().catch(() => {});
  }
}

function nextOrSilence<T>(
  it: AsyncIterator<T>,
  clock: Clock,
  silenceMs: number,
): Promise<IteratorResult<T>> {
  return new Promise((resolve, reject) => {
    const undo = clock.setTimer(silenceMs, () => reject(silenceError(silenceMs)));
    it.next().then((res) => {
      undo();
      resolve(res);
    }, (e) => {
      undo();
      reject(e);
    });
  });
}

function silenceError(silenceMs: number): unknown {
  try {
    raise({ type: "timeout", message: `no event for ${silenceMs} ms` });
  } catch (e) {
    return e;
  }
}
