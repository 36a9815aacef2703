/**
 * Spreads crashes, and the evidence that clears requests of them, among gateways.
 *
 * What one crash costs a link does not grow with the number of gateways: news goes along the spread tree, with a bounded
 * rate, and of many gateways that have the same evidence few announce it, as each waits for a random time and stays
 * silent if it hears of it (S. Floyd et al., "A Reliable Multicast Framework for Light-weight Sessions", 1997). What a
 * gateway has missed it gets when digests are compared.
 *
 * @module
 */
import type { Clock, Rng, Undo } from "@wisteriapick/core";
import { CrashAttribution, type CrashSuspect, type Trait } from "@wisteriapick/policy";
import type { CrashEvidence, CrashSuspectReport, SuspectReport } from "@wisteriapick/wire";
import type { DecisionLog } from "../observe/decision_log.ts";
import { DigestExchange } from "./digest_exchange.ts";
import type { PeerGroup } from "./peer_group.ts";
import { TreeBroadcast } from "./tree_broadcast.ts";

/** Options of {@link CrashEvidenceExchange}. */
export interface CrashEvidenceExchangeOptions {
  readonly attribution: CrashAttribution;
  readonly network: PeerGroup;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: DecisionLog;
  /** Called after a message has changed what is known. */
  readonly onChange: () => void;
  /** Called when a peer begins a trial of suspected traits. */
  readonly onTrial: (traits: readonly Trait[]) => void;
}

/** What a gateway has to tell. */
export type CrashNews = Partial<Pick<CrashEvidence, "harmless" | "trials">> & {
  readonly suspects?: readonly CrashSuspect[];
};

/** Protocol version from which on gateways understand these messages. */
const SINCE_VERSION = 3;
const SUBJECT = "crash_evidence";
/** Largest number of requests at crashes in one message. */
const MAX_SUSPECTS = 32;
/** Largest number of traits with evidence in one message. */
const MAX_HARMLESS = 256;
/** Longest random time before evidence is announced, for each gateway and in total. */
const MAX_DELAY_PER_GATEWAY_MS = 1;
const MAX_DELAY_MS = 500;
/** Largest number of traits of which it is known what peers know. */
const MAX_ANNOUNCED = 1_024;

/** Sends and receives crash evidence. */
export class CrashEvidenceExchange extends DigestExchange {
  readonly #options: CrashEvidenceExchangeOptions;
  /** The newest evidence of each trait that peers have been told of, or have told. */
  readonly #announcedAtMs = new Map<Trait, number>();
  readonly #scheduled = new Set<Trait>();
  readonly #undos: Undo[];
  readonly #broadcast: TreeBroadcast;

  constructor(options: CrashEvidenceExchangeOptions) {
    const { network, clock, rng, log } = options;
    const broadcast = new TreeBroadcast({
      network,
      clock,
      log,
      subject: SUBJECT,
      sinceVersion: SINCE_VERSION,
    });
    const understanding = () => network.linked().filter((peer) => broadcast.understands(peer));
    super({ clock, rng, peers: () => understanding().map(({ name }) => name) });
    this.#options = options;
    this.#broadcast = broadcast;
    this.#undos = [
      network.registerUp((peer) => this.#onUp(peer)),
      network.registerHandler("crash_evidence", (peer, msg) => this.#onEvidence(peer, msg)),
      network.registerHandler("crash_evidence_digest", (peer, { digest }) => {
        this.onDigest(peer, digest);
      }),
      network.registerHandler("crash_evidence_request", (peer) => this.#answer(peer)),
      this.start(),
    ];
  }

  /** Disconnects from the network. */
  close(): void {
    for (const undo of this.#undos) undo();
  }

  /** Tells all gateways. */
  publish({ suspects = [], harmless = [], trials = [] }: CrashNews): void {
    for (const { trait, ageMs } of harmless) this.#recordAnnounced(trait as Trait, ageMs);
    const { name } = this.#options.network;
    const traits = suspects.flatMap((suspect) => suspect.traits);
    this.#broadcast.send({
      kind: "crash_evidence",
      origin: name,
      hops: 0,
      suspects: suspects.slice(0, MAX_SUSPECTS).map((suspect) => this.#report(suspect)),
      harmless: [...harmless, ...this.#harmlessOf(traits)],
      trials,
    });
  }

  /** Announces soon that a trait is harmless, unless peers know it or it does not matter to them. */
  offerEvidence(trait: Trait): void {
    if (this.#scheduled.has(trait) || !this.#isNews(trait)) return;
    this.#scheduled.add(trait);
    const { clock, rng, network } = this.#options;
    const gateways = network.linked().length + 1;
    const maxMs = Math.min(MAX_DELAY_MS, MAX_DELAY_PER_GATEWAY_MS * gateways);
    clock.setTimer(rng.next() * maxMs, () => {
      this.#scheduled.delete(trait);
      if (this.#isNews(trait)) this.publish({ harmless: this.#harmlessOf([trait]) });
    });
  }

  protected override summary(): string | null {
    const { attribution, clock } = this.#options;
    return attribution.isEmpty ? null : attribution.summary(clock.now());
  }

  protected override sendDigest(peer: string, digest: string): void {
    this.#options.network.send(peer, { kind: "crash_evidence_digest", digest });
  }

  protected override sendRequest(peer: string): void {
    this.#options.network.send(peer, { kind: "crash_evidence_request" });
  }

  #onUp(peer: string): void {
    const linked = this.#options.network.linked().find(({ name }) => name === peer);
    if (linked !== undefined && this.#broadcast.understands(linked)) this.announce(peer);
  }

  /** Sends a peer everything, which it does not pass on. */
  #answer(peer: string): void {
    const { attribution, network, clock } = this.#options;
    const suspects = attribution.suspects(clock.now());
    for (let from = 0; from < suspects.length; from += MAX_SUSPECTS) {
      const part = suspects.slice(from, from + MAX_SUSPECTS);
      network.send(peer, {
        kind: "crash_evidence",
        origin: "",
        hops: 0,
        suspects: part.map((suspect) => this.#report(suspect)),
        harmless: this.#harmlessOf(part.flatMap((suspect) => suspect.traits)),
        trials: [],
      });
    }
  }

  #onEvidence(peer: string, msg: CrashEvidence): void {
    const { attribution, clock, log, onChange, onTrial } = this.#options;
    const now = clock.now();
    const harmless = msg.harmless.slice(0, MAX_HARMLESS);
    const suspects = msg.suspects.slice(0, MAX_SUSPECTS).map((s) => decodeSuspect(s, now));
    for (const { trait, ageMs } of harmless) {
      attribution.recordHarmless(trait as Trait, now - ageMs);
      this.#recordAnnounced(trait as Trait, ageMs);
    }
    for (const suspect of suspects) {
      if (!attribution.recordCrash(suspect, now)) continue;
      const { crash, request, hasBegun, isTrial, traits, atMs } = suspect;
      const ageMs = Math.round(now - atMs);
      log.state("crash_reported", { peer, crash, request, hasBegun, isTrial, traits, ageMs });
    }
    for (const trait of suspects.flatMap((s) => s.traits)) this.offerEvidence(trait);
    if (msg.trials.length > 0) onTrial(msg.trials as readonly string[] as readonly Trait[]);
    if (harmless.length > 0 || suspects.length > 0) onChange();
    if (msg.origin !== "") this.#broadcast.send({ ...msg, hops: msg.hops + 1 });
  }

  /** Whether this gateway has evidence of a trait that changes what peers conclude from a crash. */
  #isNews(trait: Trait): boolean {
    const { attribution, clock } = this.#options;
    const ownMs = attribution.harmlessAtMs(trait);
    if (ownMs === null) return false;
    const knownMs = this.#announcedAtMs.get(trait) ?? null;
    return attribution.suspects(clock.now()).some((suspect) =>
      suspect.traits.includes(trait) && CrashAttribution.isNews(suspect.atMs, ownMs, knownMs)
    );
  }

  #recordAnnounced(trait: Trait, ageMs: number): void {
    const atMs = this.#options.clock.now() - ageMs;
    if (atMs <= (this.#announcedAtMs.get(trait) ?? -Infinity)) return;
    this.#announcedAtMs.delete(trait);
    this.#announcedAtMs.set(trait, atMs);
    if (this.#announcedAtMs.size > MAX_ANNOUNCED) {
      this.#announcedAtMs.delete(this.#announcedAtMs.keys().next().value!);
    }
  }

  #harmlessOf(traits: readonly Trait[]): { trait: Trait; ageMs: number }[] {
    const { attribution, clock } = this.#options;
    const now = clock.now();
    return [...new Set(traits)].flatMap((trait) => {
      const atMs = attribution.harmlessAtMs(trait);
      return atMs === null ? [] : [{ trait, ageMs: Math.round(now - atMs) }];
    }).slice(0, MAX_HARMLESS);
  }

  #report({ crash, request, atMs, hasBegun, isTrial, traits }: CrashSuspect): CrashSuspectReport {
    const ageMs = Math.round(this.#options.clock.now() - atMs);
    return { crash, request, ageMs, hasBegun, isTrial, traits };
  }
}

function decodeSuspect(report: CrashSuspectReport, nowMs: number): CrashSuspect {
  const { ageMs, traits, ...rest } = report;
  return { ...rest, traits: traits as readonly string[] as readonly Trait[], atMs: nowMs - ageMs };
}

/** The suspects of a peer of protocol version 1 or 2, which knows digests of whole requests only. */
export function decodeOldSuspects(
  suspects: readonly SuspectReport[],
  traitOf: (digest: string) => Trait,
  nowMs: number,
): CrashSuspect[] {
  return suspects.slice(0, MAX_SUSPECTS).flatMap(({ digest, crashIds }) =>
    crashIds.map((crash) => {
      const traits = [traitOf(digest)];
      return { crash, request: digest, atMs: nowMs, hasBegun: false, isTrial: false, traits };
    })
  );
}
