/**
 * A text that takes time to render, such as metrics, for all who ask for it at the same time.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";

/** Time for which a rendered text is sent to all who ask, in milliseconds. */
const RENDERED_MS = 200;

/**
 * A text that is rendered when it is asked for and was not rendered just before.
 *
 * @example
 * ```ts
 * const metrics = new RecentText(clock, () => registry.metrics());
 * res.end(await metrics.get());
 * ```
 */
export class RecentText {
  readonly #clock: Clock;
  readonly #render: () => Promise<string>;
  #text: Promise<string> | null = null;
  #renderedAtMs = -Infinity;

  constructor(clock: Clock, render: () => Promise<string>) {
    this.#clock = clock;
    this.#render = render;
  }

  get(): Promise<string> {
    const now = this.#clock.now();
    if (this.#text === null || now - this.#renderedAtMs >= RENDERED_MS) {
      this.#renderedAtMs = now;
      this.#text = this.#render();
    }
    return this.#text;
  }
}
