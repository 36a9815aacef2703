/**
 * What a cold engine bears. It grows with the tokens the engine has produced since it turned cold.
 *
 * @module
 */

// A cold engine is slower even when idle, and slows further as it nears what it bears.
const COLD_SLOW_FACTOR = 1.6;
const MAX_LOAD_FACTOR = 4;

/** Sizes of the cold state; see `EngineOptions`. */
export interface ColdStateOptions {
  readonly coldBears: number;
  readonly coldDoubleTokens: number;
  readonly coldFadeMs: number;
  readonly maxBatch: number;
}

/** The cold state of one engine. */
export class ColdState {
  readonly #cfg: ColdStateOptions;
  #since: number | null = null;
  #fadeFrom = 0;
  #tokens = 0;

  constructor(cfg: ColdStateOptions) {
    this.#cfg = cfg;
  }

  get active(): boolean {
    return this.#since !== null;
  }

  /** Turns cold at `sinceMs`; what it bears fades from `fadeFrom` generations. */
  start(sinceMs: number, fadeFrom: number): void {
    this.#since = sinceMs;
    this.#fadeFrom = fadeFrom;
    this.#tokens = 0;
  }

  end(): void {
    this.#since = null;
  }

  /** Generations the engine sustains now; infinite when warm. */
  bears(nowMs: number): number {
    if (this.#since === null) return Infinity;
    const faded = Math.min(1, (nowMs - this.#since) / this.#cfg.coldFadeMs);
    return Math.max(1, this.#grown(), this.#fadeFrom * (1 - faded));
  }

  /** Factor on the time of a step with `running` generations. */
  stepFactor(running: number, nowMs: number): number {
    if (this.#since === null) return 1;
    return COLD_SLOW_FACTOR + Math.min(MAX_LOAD_FACTOR, running / this.bears(nowMs));
  }

  /** Counts tokens produced; the engine is warm once it bears a full batch. */
  warm(tokens: number): void {
    if (this.#since === null) return;
    this.#tokens += tokens;
    if (this.#grown() >= this.#cfg.maxBatch) this.#since = null;
  }

  #grown(): number {
    return this.#cfg.coldBears * 2 ** (this.#tokens / this.#cfg.coldDoubleTokens);
  }
}
