/**
 * Decides which requests are refused as poison: those that crash the endpoints that run them.
 * Requests are recognised by their digest.
 *
 * After a crash each digest that ran at the endpoint is a suspect. A suspect may run again, but
 * never together with another suspect, so that a second crash identifies it. One digest therefore
 * causes at most two crashes before it is refused, as long as this process learns of each crash
 * before the digest is sent again.
 *
 * @module
 */

/** Options of {@link Quarantine}. */
export interface QuarantineOptions {
  /** Number of crashes after which a digest is quarantined. */
  readonly crashes?: number;
  /** Time without a crash after which a suspect is forgotten. */
  readonly suspectMs?: number;
  /** Duration of the first quarantine; each further one lasts twice as long. */
  readonly quarantineMs?: number;
  readonly maxQuarantineMs?: number;
  /** Largest number of digests; the oldest is dropped first. */
  readonly maxDigests?: number;
}

/** A suspect as processes exchange it. Times are relative, so that clocks are never compared. */
export interface SuspectEntry {
  readonly digest: string;
  /** Ids of its crashes, so that a crash reported over two paths counts once. */
  readonly crashIds: readonly string[];
  /** Time left as a suspect or in quarantine. */
  readonly remainingMs: number;
  readonly quarantined: boolean;
}

interface Suspect {
  crashIds: string[];
  untilMs: number;
  quarantinedUntilMs: number;
  quarantineCount: number;
}

/** Suspects and quarantined digests that one process knows of. */
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
    const existing = this.#suspectOf(digest, nowMs);
    if (existing?.crashIds.includes(crashId)) return;
    const suspect = existing ?? this.#create(digest);
    suspect.crashIds.push(crashId);
    suspect.untilMs = nowMs + this.#cfg.suspectMs;
    if (suspect.crashIds.length >= this.#cfg.crashes) this.#quarantine(suspect, nowMs);
  }

  /** Clears a suspect that has run well beyond the point of its crash. A quarantined digest is not cleared. */
  recordCleared(digest: string, nowMs: number): void {
    const suspect = this.#suspectOf(digest, nowMs);
    if (suspect === undefined || suspect.quarantinedUntilMs > nowMs) return;
    this.#suspects.delete(digest);
  }

  /** Number of crashes at which the digest ran; 0 for one that is no suspect. */
  crashCount(digest: string, nowMs: number): number {
    return this.#suspectOf(digest, nowMs)?.crashIds.length ?? 0;
  }

  /** Time until the digest may run again; 0 where it is not in quarantine. */
  remainingMs(digest: string, nowMs: number): number {
    const suspect = this.#suspectOf(digest, nowMs);
    return suspect === undefined ? 0 : Math.max(0, suspect.quarantinedUntilMs - nowMs);
  }

  /** All suspects, for other processes. */
  entries(nowMs: number): SuspectEntry[] {
    const entries: SuspectEntry[] = [];
    for (const digest of [...this.#suspects.keys()]) {
      const suspect = this.#suspectOf(digest, nowMs);
      if (suspect === undefined) continue;
      const quarantined = suspect.quarantinedUntilMs > nowMs;
      const untilMs = quarantined ? suspect.quarantinedUntilMs : suspect.untilMs;
      entries.push({
        digest,
        crashIds: suspect.crashIds,
        remainingMs: untilMs - nowMs,
        quarantined,
      });
    }
    return entries;
  }

  /** Merges the suspects of another process. A crash that is known already is not counted again. */
  merge(entries: readonly SuspectEntry[], nowMs: number): void {
    for (const entry of entries) {
      for (const crashId of entry.crashIds) this.recordCrash(entry.digest, crashId, nowMs);
      if (!entry.quarantined) continue;
      const suspect = this.#suspectOf(entry.digest, nowMs) ?? this.#create(entry.digest);
      const untilMs = nowMs + Math.min(entry.remainingMs, this.#cfg.maxQuarantineMs);
      suspect.quarantinedUntilMs = Math.max(suspect.quarantinedUntilMs, untilMs);
      suspect.untilMs = Math.max(suspect.untilMs, untilMs);
    }
  }

  #create(digest: string): Suspect {
    const suspect: Suspect = {
      crashIds: [],
      untilMs: 0,
      quarantinedUntilMs: 0,
      quarantineCount: 0,
    };
    this.#suspects.set(digest, suspect);
    if (this.#suspects.size > this.#cfg.maxDigests) {
      this.#suspects.delete(this.#suspects.keys().next().value!);
    }
    return suspect;
  }

  #quarantine(suspect: Suspect, nowMs: number): void {
    const durationMs = Math.min(
      this.#cfg.maxQuarantineMs,
      this.#cfg.quarantineMs * 2 ** suspect.quarantineCount,
    );
    suspect.quarantineCount++;
    suspect.quarantinedUntilMs = nowMs + durationMs;
    suspect.untilMs = suspect.quarantinedUntilMs + this.#cfg.suspectMs;
  }

  #suspectOf(digest: string, nowMs: number): Suspect | undefined {
    const suspect = this.#suspects.get(digest);
    if (suspect === undefined) return undefined;
    if (suspect.untilMs > nowMs) return suspect;
    this.#suspects.delete(digest);
    return undefined;
  }
}
