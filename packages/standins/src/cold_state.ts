/**
 * Capacity of a cold engine, which grows with the tokens that the engine has produced since it turned cold.
 *
 * @module
 */

// A cold engine is slower even when idle, and slows down further as its load approaches its capacity.
const IDLE_COLD_STEP_FACTOR = 1.6;
const MAX_COLD_LOAD_FACTOR = 4;

/** The fields of `EngineOptions` that the cold state uses. */
export interface ColdStateOptions {
  readonly coldCapacity: number;
  readonly coldDoubleTokens: number;
  readonly coldFadeMs: number;
  readonly maxBatch: number;
}

/** The cold state of one engine. */
export class ColdState {
  readonly #cfg: ColdStateOptions;
  #sinceMs: number | null = null;
  #fadeFromCapacity = 0;
  #tokens = 0;

  constructor(cfg: ColdStateOptions) {
    this.#cfg = cfg;
  }

  get isActive(): boolean {
    return this.#sinceMs !== null;
  }

  /** Turns cold at `sinceMs`; the capacity fades from `fadeFrom` generations. */
  start(sinceMs: number, fadeFrom: number): void {
    this.#sinceMs = sinceMs;
    this.#fadeFromCapacity = fadeFrom;
    this.#tokens = 0;
  }

  end(): void {
    this.#sinceMs = null;
  }

  /** Number of generations that the engine sustains at `nowMs`; infinite when warm. */
  capacity(nowMs: number): number {
    if (this.#sinceMs === null) return Infinity;
    const faded = Math.min(1, (nowMs - this.#sinceMs) / this.#cfg.coldFadeMs);
    return Math.max(1, this.#warmedCapacity(), this.#fadeFromCapacity * (1 - faded));
  }

  /** Factor on the duration of a step with `running` generations. */
  stepFactor(running: number, nowMs: number): number {
    if (this.#sinceMs === null) return 1;
    return IDLE_COLD_STEP_FACTOR + Math.min(MAX_COLD_LOAD_FACTOR, running / this.capacity(nowMs));
  }

  /** Counts tokens produced; the engine is warm once its capacity reaches a full batch. */
  recordTokens(tokens: number): void {
    if (this.#sinceMs === null) return;
    this.#tokens += tokens;
    if (this.#warmedCapacity() >= this.#cfg.maxBatch) this.#sinceMs = null;
  }

  #warmedCapacity(): number {
    return this.#cfg.coldCapacity * 2 ** (this.#tokens / this.#cfg.coldDoubleTokens);
  }
}
