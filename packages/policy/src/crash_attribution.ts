/**
 * Attributes crashes of endpoints to traits that requests share, such as segments of their prompts, and decides which
 * requests are refused because of them.
 *
 * Load pattern: requests of which no two are alike crash every endpoint that begins to respond to them, because of one
 * segment that they have in common. Harmless requests share their other segments and their account.
 *
 * The second pattern: one request comes again and again, and crashes each endpoint before it responds, beside harmless
 * requests whose responses have just begun.
 *
 * Each request that may have caused a crash is recorded with its traits. A trait is cleared when a request that has it
 * runs well. A second crash without that makes a segment refused, a third one a content. Requests with a suspected trait
 * run one at a time as trials until then, and again when the refusal has ended, so that a crash has one candidate
 * (adaptive group testing: D.-Z. Du, F. K. Hwang, "Combinatorial Group Testing and Its Applications", 1993).
 *
 * @module
 */

import type { Brand } from "@wisteriapick/core";

/** What requests have in common: one segment of their prompts, or all of their content. */
export type Trait = Brand<string, "Trait">;

const SEGMENT_PREFIX = "segment:";
const CONTENT_PREFIX = "content:";

/** The trait of requests whose prompts have a segment in common. */
export function segmentTrait(segment: string): Trait {
  return `${SEGMENT_PREFIX}${segment}` as Trait;
}

/** The trait of requests with the same content, by its digest. */
export function contentTrait(digest: string): Trait {
  return `${CONTENT_PREFIX}${digest}` as Trait;
}

/** Whether a trait is the content of requests rather than a segment of their prompts. */
export function isContentTrait(trait: Trait): boolean {
  return trait.startsWith(CONTENT_PREFIX);
}

/** A request that may have caused a crash. */
export interface CrashSuspect {
  /** Identifies the crash, the same for all requests at it. */
  readonly crash: string;
  /** Identifies the request. */
  readonly request: string;
  readonly atMs: number;
  /** Whether the endpoint had begun its response. */
  readonly hasBegun: boolean;
  /** Whether the request ran as a trial of a suspected trait. */
  readonly isTrial: boolean;
  readonly traits: readonly Trait[];
}

/** Whether a request may be sent; for `trial`, only while no other request with one of `suspected` runs. */
export type CrashVerdict =
  | { readonly type: "free" }
  | { readonly type: "trial"; readonly suspected: readonly Trait[] }
  | { readonly type: "refused"; readonly trait: Trait; readonly retryAfterMs: number };

/** Suspicion of one trait, for logs. */
export interface TraitState {
  readonly trait: Trait;
  readonly level: "suspected" | "refused";
  /** Number of crashes, those at the same moment counted once. */
  readonly crashes: number;
  /** Number of other traits that were at each of these crashes. */
  readonly companions: number;
}

/** Options of {@link CrashAttribution}. */
export interface CrashAttributionOptions {
  /** Time without a crash after which a suspected trait is forgotten. */
  readonly suspectMs?: number;
  /** Time after its last crash at which a refused trait gets a trial; it doubles with each further crash. */
  readonly retrialMs?: number;
  readonly maxRetrialMs?: number;
  /** Largest number of recorded requests at crashes. */
  readonly maxSuspects?: number;
  /** Largest number of traits of which it is known when they last ran well. */
  readonly maxEvidence?: number;
}

/** Largest number of traits recorded of one request. */
export const MAX_TRAITS = 33;
/** Time before a crash within which evidence that a segment is harmless makes it a weak candidate. */
const EVIDENCE_MS = 20_000;
/** Crashes within this time count once for a segment, as those of a whole rack do. */
const MOMENT_MS = 100;
/** Points of a crash for a segment without evidence, and for one that ran well shortly before. */
const STRONG_POINTS = 3;
const WEAK_POINTS = 1;
const SUSPECTED_POINTS = 3;
const REFUSED_POINTS = 6;
/** Crashes after which a content is refused. It may be at one by coincidence, so it runs freely until the second. */
const CONTENT_CRASH_LIMIT = 3;
const CONTENT_SUSPECTED_POINTS = (CONTENT_CRASH_LIMIT - 1) * STRONG_POINTS;
const CONTENT_REFUSED_POINTS = CONTENT_CRASH_LIMIT * STRONG_POINTS;
/** Interval at which old entries are removed, in milliseconds. */
const EXPIRY_INTERVAL_MS = 250;

const FREE: CrashVerdict = { type: "free" };

type Standing = "cleared" | "weak" | "unknown";

/** What the crashes say of one trait. */
interface Score {
  readonly trait: Trait;
  points: number;
  crashes: number;
  lastCrashMs: number;
  /** Beginning of the last moment with a crash, and the points that it has given. */
  momentMs: number;
  momentPoints: number;
  /** Traits that were candidates at each of its crashes as well. */
  companions: ReadonlySet<Trait>;
}

/** Crashes, and the evidence that clears traits, as one process knows them. */
export class CrashAttribution {
  readonly #cfg: Required<CrashAttributionOptions>;
  readonly #suspects = new Map<string, CrashSuspect>();
  /** When a request with a trait last began to run well; the oldest knowledge comes first. */
  readonly #harmlessAtMs = new Map<Trait, number>();
  /** Number of recorded requests that have a trait. */
  readonly #counts = new Map<Trait, number>();
  #scores: Map<Trait, Score> | null = null;
  /** Number of recorded traits that are contents. */
  #contents = 0;
  #expireAtMs = -Infinity;

  constructor(options: CrashAttributionOptions = {}) {
    this.#cfg = {
      suspectMs: options.suspectMs ?? 60_000,
      retrialMs: options.retrialMs ?? 60_000,
      maxRetrialMs: options.maxRetrialMs ?? 3_600_000,
      maxSuspects: options.maxSuspects ?? 64,
      maxEvidence: options.maxEvidence ?? 8_192,
    };
  }

  /** Whether nothing is recorded, so that every request is free. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /** Whether a trait was at a recorded crash. */
  isRecorded(trait: Trait): boolean {
    return this.#counts.has(trait);
  }

  /** Whether the content of any request is recorded, so that digests of requests are needed. */
  get hasContents(): boolean {
    return this.#contents > 0;
  }

  /** Whether a request is recorded to which the endpoint had begun to respond at a crash. */
  hasBegunSuspect(crash: string): boolean {
    return [...this.#suspects.values()].some((s) => s.crash === crash && s.hasBegun);
  }

  /** Records a request that may have caused a crash. Returns false if it was recorded before. */
  recordCrash(suspect: CrashSuspect, nowMs: number): boolean {
    const key = `${suspect.crash} ${suspect.request}`;
    if (this.#suspects.has(key)) return false;
    const traits = [...new Set(suspect.traits)].slice(0, MAX_TRAITS);
    this.#suspects.set(key, { ...suspect, traits });
    for (const trait of traits) {
      const count = this.#counts.get(trait) ?? 0;
      if (count === 0 && !isSegment(trait)) this.#contents++;
      this.#counts.set(trait, count + 1);
    }
    this.#scores = null;
    this.#expireAtMs = -Infinity;
    if (this.#suspects.size > this.#cfg.maxSuspects) this.#evict(nowMs);
    return true;
  }

  /** Records that a request with a trait began to run well at `atMs`. */
  recordHarmless(trait: Trait, atMs: number): void {
    if (atMs <= (this.#harmlessAtMs.get(trait) ?? -Infinity)) return;
    // Deleted first, so that the order of the map is that of the knowledge.
    this.#harmlessAtMs.delete(trait);
    this.#harmlessAtMs.set(trait, atMs);
    if (this.#counts.has(trait)) {
      this.#scores = null;
      this.#expireAtMs = -Infinity;
    }
    if (this.#harmlessAtMs.size > this.#cfg.maxEvidence) {
      this.#harmlessAtMs.delete(this.#harmlessAtMs.keys().next().value!);
    }
  }

  /** When a request with a trait last began to run well; `null` if that is not known. */
  harmlessAtMs(trait: Trait): number | null {
    return this.#harmlessAtMs.get(trait) ?? null;
  }

  /** Whether knowing that a trait ran well at `harmlessAtMs`, and not only at `knownAtMs`, changes its part in a crash. */
  static isNews(crashAtMs: number, harmlessAtMs: number, knownAtMs: number | null): boolean {
    return standing(harmlessAtMs, crashAtMs) !== standing(knownAtMs, crashAtMs);
  }

  /** Whether a request with these traits may be sent now. */
  verdict(traits: readonly Trait[], nowMs: number): CrashVerdict {
    if (this.#suspects.size === 0) return FREE;
    this.#expire(nowMs);
    const scores = this.#scoresNow();
    const suspected: Trait[] = [];
    for (const trait of traits) {
      const score = scores.get(trait);
      if (score === undefined) continue;
      if (isRefused(score) && [...score.companions].every((other) => traits.includes(other))) {
        const retryAfterMs = this.#retrialAtMs(score) - nowMs;
        if (retryAfterMs > 0) return { type: "refused", trait, retryAfterMs };
      }
      if (isSuspected(score)) suspected.push(trait);
    }
    return suspected.length === 0 ? FREE : { type: "trial", suspected };
  }

  /** The traits that are suspected or refused. */
  states(nowMs: number): TraitState[] {
    this.#expire(nowMs);
    return [...this.#scoresNow().values()]
      .filter((score) => isRefused(score) || isSuspected(score))
      .map((score) => ({
        trait: score.trait,
        level: isRefused(score) ? "refused" : "suspected",
        crashes: score.crashes,
        companions: score.companions.size,
      }));
  }

  /** All recorded requests. */
  suspects(nowMs: number): readonly CrashSuspect[] {
    this.#expire(nowMs);
    return [...this.#suspects.values()];
  }

  /** A text that is the same for processes that know the same crashes and judge their traits alike. */
  summary(nowMs: number): string {
    this.#expire(nowMs);
    const lines = [...this.#suspects].map(([key, { atMs, traits }]) => {
      return [key, ...traits.map((t) => `${t}=${this.#standing(t, atMs)}`)].join(" ");
    });
    return lines.sort().join("\n");
  }

  #standing(trait: Trait, crashAtMs: number): Standing {
    return standing(this.harmlessAtMs(trait), crashAtMs);
  }

  #delete(key: string): void {
    for (const trait of this.#suspects.get(key)?.traits ?? []) {
      const left = this.#counts.get(trait)! - 1;
      this.#counts.set(trait, left);
      if (left > 0) continue;
      this.#counts.delete(trait);
      if (!isSegment(trait)) this.#contents--;
    }
    this.#suspects.delete(key);
    this.#scores = null;
  }

  /**
   * Removes surplus requests: those that support no refusal first, of them those whose content was at one crash only,
   * of them those without a response, then the oldest.
   */
  #evict(nowMs: number): void {
    this.#expire(nowMs);
    const scores = this.#scoresNow();
    const inOrder = [...this.#suspects].sort(([, a], [, b]) =>
      Number(supportsRefusal(a, scores)) - Number(supportsRefusal(b, scores)) ||
      Number(hasSuspectedContent(a, scores)) - Number(hasSuspectedContent(b, scores)) ||
      Number(a.hasBegun) - Number(b.hasBegun) || a.atMs - b.atMs
    );
    const surplus = Math.max(0, this.#suspects.size - this.#cfg.maxSuspects);
    for (const [key] of inOrder.slice(0, surplus)) this.#delete(key);
  }

  /** Removes requests whose traits are all cleared, and old ones that support no refusal. */
  #expire(nowMs: number): void {
    if (nowMs < this.#expireAtMs) return;
    this.#expireAtMs = nowMs + EXPIRY_INTERVAL_MS;
    const { suspectMs, maxRetrialMs } = this.#cfg;
    const scores = this.#scoresNow();
    for (const [key, suspect] of [...this.#suspects]) {
      const ageMs = nowMs - suspect.atMs;
      const isCleared = suspect.traits.every((t) => this.#standing(t, suspect.atMs) === "cleared");
      const isOld = ageMs > suspectMs && !supportsRefusal(suspect, scores);
      if (isCleared || isOld || ageMs > 2 * maxRetrialMs) this.#delete(key);
    }
  }

  #retrialAtMs({ trait, crashes, lastCrashMs }: Score): number {
    const limit = isSegment(trait) ? REFUSED_POINTS / STRONG_POINTS : CONTENT_CRASH_LIMIT;
    const { retrialMs, maxRetrialMs } = this.#cfg;
    return lastCrashMs + Math.min(maxRetrialMs, retrialMs * 2 ** Math.max(0, crashes - limit));
  }

  #scoresNow(): Map<Trait, Score> {
    this.#scores ??= this.#computeScores();
    return this.#scores;
  }

  #computeScores(): Map<Trait, Score> {
    const scores = new Map<Trait, Score>();
    const ordered = [...this.#suspects.values()].sort((a, b) => a.atMs - b.atMs);
    const begun = new Set(ordered.filter((s) => s.hasBegun).map((s) => s.crash));
    for (const suspect of ordered) {
      // A segment crashes an endpoint that has begun to respond, so those of requests without a response are no
      // candidates beside one that has. A content may do so before the first byte.
      const isAmongFirst = suspect.hasBegun || !begun.has(suspect.crash);
      this.#addCandidates(scores, suspect, isAmongFirst ? () => true : (t) => isContentTrait(t));
    }
    return scores;
  }

  #addCandidates(
    scores: Map<Trait, Score>,
    { traits, atMs, isTrial }: CrashSuspect,
    isCandidate: (trait: Trait) => boolean,
  ): void {
    const candidates = new Map<Trait, number>();
    for (const trait of traits) {
      const known = this.#standing(trait, atMs);
      if (!isCandidate(trait) || known === "cleared") continue;
      const isOnTrial = isTrial && isSuspected(scores.get(trait));
      candidates.set(trait, known === "unknown" || isOnTrial ? STRONG_POINTS : WEAK_POINTS);
    }
    for (const [trait, points] of candidates) {
      // A content identifies a request, whatever segments it has.
      const companions = [...candidates]
        .filter(([other, otherPoints]) =>
          isSegment(trait) && isSegment(other) && other !== trait && otherPoints >= points
        )
        .map(([other]) => other);
      addCrash(scores, trait, { atMs, points, companions });
    }
  }
}

function isSegment(trait: Trait): boolean {
  return trait.startsWith(SEGMENT_PREFIX);
}

/** What the last evidence for a trait says of its part in a crash. */
function standing(harmlessAtMs: number | null, crashAtMs: number): Standing {
  if (harmlessAtMs === null || harmlessAtMs <= crashAtMs - EVIDENCE_MS) return "unknown";
  return harmlessAtMs > crashAtMs ? "cleared" : "weak";
}

function addCrash(
  scores: Map<Trait, Score>,
  trait: Trait,
  { atMs, points, companions = [] }: {
    readonly atMs: number;
    readonly points: number;
    readonly companions?: readonly Trait[];
  },
): void {
  const score = scores.get(trait);
  if (score === undefined) {
    scores.set(trait, {
      trait,
      points,
      crashes: 1,
      lastCrashMs: atMs,
      momentMs: atMs,
      momentPoints: points,
      companions: new Set(companions),
    });
    return;
  }
  score.companions = new Set(companions.filter((other) => score.companions.has(other)));
  score.lastCrashMs = atMs;
  const isSameMoment = isSegment(trait) && atMs - score.momentMs <= MOMENT_MS;
  score.points += isSameMoment ? Math.max(0, points - score.momentPoints) : points;
  score.momentPoints = isSameMoment ? Math.max(points, score.momentPoints) : points;
  if (isSameMoment) return;
  score.momentMs = atMs;
  score.crashes++;
}

function isSuspected(score: Score | undefined): boolean {
  if (score === undefined) return false;
  const { trait, points } = score;
  return points >= (isSegment(trait) ? SUSPECTED_POINTS : CONTENT_SUSPECTED_POINTS);
}

function isRefused({ trait, points }: Score): boolean {
  return points >= (isSegment(trait) ? REFUSED_POINTS : CONTENT_REFUSED_POINTS);
}

function supportsRefusal({ traits }: CrashSuspect, scores: ReadonlyMap<Trait, Score>): boolean {
  return traits.some((trait) => {
    const score = scores.get(trait);
    return score !== undefined && isRefused(score);
  });
}

function hasSuspectedContent(
  { traits }: CrashSuspect,
  scores: ReadonlyMap<Trait, Score>,
): boolean {
  return traits.some((trait) => isContentTrait(trait) && isSuspected(scores.get(trait)));
}
