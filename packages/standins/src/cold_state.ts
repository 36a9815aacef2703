/**
 * What a cold engine bears. It grows with the tokens the engine has produced since it turned cold.
 *
 * @module
 */

// A cold engine is slower even when idle, and slows further as it nears what it bears.
const IDLE_COLD_STEP_FACTOR = 1.6;
const MAX_COLD_LOAD_FACTOR = 4;

/** Sizes of the cold state; see `EngineOptions`. */
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

  /** Turns cold at `sinceMs`; what it bears fades from `fadeFrom` generations. */
  start(sinceMs: number, fadeFrom: number): void {
    this.#sinceMs = sinceMs;
    this.#fadeFromCapacity = fadeFrom;
    this.#tokens = 0;
  }

  end(): void {
    this.#sinceMs = null;
  }

  /** Generations the engine sustains now; infinite when warm. */
  capacity(nowMs: number): number {
    if (this.#sinceMs === null) return Infinity;
    const faded = Math.min(1, (nowMs - this.#sinceMs) / this.#cfg.coldFadeMs);
    return Math.max(1, this.#warmedCapacity(), this.#fadeFromCapacity * (1 - faded));
  }

  /** Factor on the time of a step with `running` generations. */
  stepFactor(running: number, nowMs: number): number {
    if (this.#sinceMs === null) return 1;
    return IDLE_COLD_STEP_FACTOR + Math.min(MAX_COLD_LOAD_FACTOR, running / this.capacity(nowMs));
  }

  /** Counts tokens produced; the engine is warm once it bears a full batch. */
  recordTokens(tokens: number): void {
    if (this.#sinceMs === null) return;
    this.#tokens += tokens;
    if (this.#warmedCapacity() >= this.#cfg.maxBatch) this.#sinceMs = null;
  }

  #warmedCapacity(): number {
    return this.#cfg.coldCapacity * 2 ** (this.#tokens / this.#cfg.coldDoubleTokens);
  }
}
