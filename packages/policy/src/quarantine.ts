/**
 * Requests that crash the endpoints which run them, recognised by digest.
 *
 * After a crash every digest that ran there is a suspect. A suspect runs again, never beside another suspect;
 * a second crash names it. Two crashes are therefore the most that one digest causes before it is refused, as
 * long as a crash is known here before the digest is sent again.
 *
 * @module
 */

/** Options of {@link Quarantine}. */
export interface QuarantineOptions {
  /** Crashes after which a digest is refused. */
  readonly crashes?: number;
  /** Time without a crash after which a suspect is forgotten. */
  readonly suspectMs?: number;
  /** Length of the first quarantine; each further one is twice as long. */
  readonly quarantineMs?: number;
  readonly maxQuarantineMs?: number;
  /** Digests kept; the oldest are forgotten. */
  readonly maxDigests?: number;
}

/** One digest as processes pass it on. Times are relative, so that clocks are never compared. */
export interface SuspectEntry {
  readonly digest: string;
  /** Names of crashes, so that news of one crash over two ways counts once. */
  readonly crashIds: readonly string[];
  /** Time left as suspect or in quarantine. */
  readonly remainingMs: number;
  readonly quarantined: boolean;
}

interface Suspect {
  crashIds: string[];
  untilMs: number;
  quarantinedUntilMs: number;
  quarantines: number;
}

/** Suspects and quarantined digests of one process. */
export class Quarantine {
  readonly #cfg: Required<QuarantineOptions>;
  readonly #suspects = new Map<string, Suspect>();

  constructor(options: QuarantineOptions = {}) {
    this.#cfg = {
      crashes: options.crashes ?? 2,
      suspectMs: options.suspectMs ?? 300_000,
      quarantineMs: options.quarantineMs ?? 120_000,
      maxQuarantineMs: options.maxQuarantineMs ?? 3_600_000,
      maxDigests: options.maxDigests ?? 4_096,
    };
  }

  get size(): number {
    return this.#suspects.size;
  }

  /** Records that an endpoint crashed while `digest` ran there. */
  recordCrash(digest: string, crashId: string, nowMs: number): void {
    const found = this.#live(digest, nowMs);
    if (found?.crashIds.includes(crashId)) return;
    const suspect = found ?? this.#create(digest);
    suspect.crashIds.push(crashId);
    suspect.untilMs = nowMs + this.#cfg.suspectMs;
    if (suspect.crashIds.length >= this.#cfg.crashes) this.#quarantine(suspect, nowMs);
  }

  /** Clears a suspect that ran well past the point of its crash. A quarantined digest is not cleared. */
  recordCleared(digest: string, nowMs: number): void {
    const suspect = this.#live(digest, nowMs);
    if (suspect === undefined || suspect.quarantinedUntilMs > nowMs) return;
    this.#suspects.delete(digest);
  }

  /** Crashes at which the digest ran; 0 for one that is not suspected. */
  crashCount(digest: string, nowMs: number): number {
    return this.#live(digest, nowMs)?.crashIds.length ?? 0;
  }

  /** Time until the digest may run again; 0 when it is not in quarantine. */
  remainingMs(digest: string, nowMs: number): number {
    const suspect = this.#live(digest, nowMs);
    return suspect === undefined ? 0 : Math.max(0, suspect.quarantinedUntilMs - nowMs);
  }

  /** What other processes should know. */
  entries(nowMs: number): SuspectEntry[] {
    const out: SuspectEntry[] = [];
    for (const digest of [...this.#suspects.keys()]) {
      const suspect = this.#live(digest, nowMs);
      if (suspect === undefined) continue;
      const quarantined = suspect.quarantinedUntilMs > nowMs;
      const until = quarantined ? suspect.quarantinedUntilMs : suspect.untilMs;
      out.push({ digest, crashIds: suspect.crashIds, remainingMs: until - nowMs, quarantined });
    }
    return out;
  }

  /** Takes over what another process knows. Merging twice changes nothing. */
  merge(entries: readonly SuspectEntry[], nowMs: number): void {
    for (const entry of entries) {
      for (const crashId of entry.crashIds) this.recordCrash(entry.digest, crashId, nowMs);
      if (!entry.quarantined) continue;
      const suspect = this.#live(entry.digest, nowMs) ?? this.#create(entry.digest);
      const until = nowMs + Math.min(entry.remainingMs, this.#cfg.maxQuarantineMs);
      suspect.quarantinedUntilMs = Math.max(suspect.quarantinedUntilMs, until);
      suspect.untilMs = Math.max(suspect.untilMs, until);
    }
  }

  #create(digest: string): Suspect {
    const suspect: Suspect = { crashIds: [], untilMs: 0, quarantinedUntilMs: 0, quarantines: 0 };
    this.#suspects.set(digest, suspect);
    if (this.#suspects.size > this.#cfg.maxDigests) {
      this.#suspects.delete(this.#suspects.keys().next().value!);
    }
    return suspect;
  }

  #quarantine(suspect: Suspect, nowMs: number): void {
    const ms = Math.min(
      this.#cfg.maxQuarantineMs,
      this.#cfg.quarantineMs * 2 ** suspect.quarantines,
    );
    suspect.quarantines++;
    suspect.quarantinedUntilMs = nowMs + ms;
    suspect.untilMs = suspect.quarantinedUntilMs + this.#cfg.suspectMs;
  }

  #live(digest: string, nowMs: number): Suspect | undefined {
    const suspect = this.#suspects.get(digest);
    if (suspect === undefined) return undefined;
    if (suspect.untilMs > nowMs) return suspect;
    this.#suspects.delete(digest);
    return undefined;
  }
}
