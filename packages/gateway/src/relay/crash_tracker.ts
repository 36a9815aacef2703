/**
 * Records which requests may have caused crashes of endpoints, and says whether a request may be sent, by what the
 * gateways know together.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Clock, Rng, Undo } from "@wisteriapick/core";
import {
  contentTrait,
  CrashAttribution,
  type CrashSuspect,
  isContentTrait,
  MAX_TRAITS,
  segmentTrait,
  type Trait,
} from "@wisteriapick/policy";
import type { EndpointRecord } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import { CrashEvidenceExchange, decodeOldSuspects } from "../peers/crash_evidence_exchange.ts";
import type { PeerGroup } from "../peers/peer_group.ts";
import type { InboundRequest } from "./inbound.ts";

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

/** Whether a request may be sent now; `wait` while another request tries a trait that it has. */
export type CrashAdmission =
  | { readonly type: "send"; readonly isTrial: boolean }
  | { readonly type: "wait" }
  | { readonly type: "refused"; readonly trait: Trait; readonly retryAfterMs: number };

/** How far an endpoint had come with a request when it crashed. */
export interface CrashDetails {
  readonly hasBegun: boolean;
}

/** Time for which a peer's trial counts as running: several times what a first event takes. */
const PEER_TRIAL_MS = 2_000;
/**
 * Time for which a request without a response is kept back, so that one whose response had begun at the same crash is
 * known first.
 */
const NOT_BEGUN_DELAY_MS = 150;
/** Largest number of requests without a response that a gateway reports at a time. */
const MAX_NOT_BEGUN_REPORTED = 8;
/** Largest number of requests at crashes that are remembered: those of several crashes of full endpoints. */
const MAX_RECORDED_SUSPECTS = 128;
const DIGEST_LENGTH = 24;
/** Longest id of a segment that is used as it is; a longer one is replaced by its digest. */
const MAX_SEGMENT_ID_LENGTH = 32;
const NO_TRAITS: readonly Trait[] = [];

/** Decides which requests are refused, wait or are sent after crashes. */
export class CrashTracker {
  readonly #options: CrashTrackerOptions;
  readonly #attribution = new CrashAttribution({ maxSuspects: MAX_RECORDED_SUSPECTS });
  /** Traits that a request of this gateway tries now, by the request's id. */
  readonly #ownTrials = new Map<string, readonly Trait[]>();
  readonly #peerTrialUntilMs = new Map<Trait, number>();
  readonly #logged = new Map<Trait, string>();
  #listeners: readonly (() => void)[] = [];
  #exchange: CrashEvidenceExchange | null = null;
  #notBegun: CrashSuspect[] = [];

  constructor(options: CrashTrackerOptions) {
    this.#options = options;
  }

  /** Whether a request may be sent to an endpoint now. Asked on each path that sends, right before it does. */
  admission(req: InboundRequest): CrashAdmission {
    if (this.#attribution.isEmpty) return { type: "send", isTrial: false };
    const now = this.#options.clock.now();
    const verdict = this.#attribution.verdict(this.#traitsOf(req), now);
    if (verdict.type === "free") return { type: "send", isTrial: false };
    if (verdict.type === "refused") {
      const { trait, retryAfterMs } = verdict;
      return { type: "refused", trait, retryAfterMs: Math.ceil(retryAfterMs) };
    }
    const isTried = verdict.suspected.some((trait) => this.#isOnTrial(trait, req.requestId, now));
    return isTried ? { type: "wait" } : { type: "send", isTrial: true };
  }

  /** Records that a request is being sent, and announces it if it is a trial. */
  recordSent(req: InboundRequest): void {
    if (this.#attribution.isEmpty) return;
    const verdict = this.#attribution.verdict(this.#traitsOf(req), this.#options.clock.now());
    if (verdict.type !== "trial" || this.#ownTrials.has(req.requestId)) return;
    this.#ownTrials.set(req.requestId, verdict.suspected);
    this.#options.log.request("crash_trial", { req: req.requestId, traits: verdict.suspected });
    this.#exchange?.publish({ trials: verdict.suspected });
  }

  /** Records that a request is no longer at an endpoint. */
  recordEnded(req: InboundRequest): void {
    this.#ownTrials.delete(req.requestId);
  }

  /** Records that an endpoint broke off a request to which it had not responded for long. */
  recordCrash(req: InboundRequest, endpoint: EndpointRecord, { hasBegun }: CrashDetails): void {
    const digest = digestOf(req);
    const suspect: CrashSuspect = {
      crash: `${endpoint.id}/${endpoint.startedAtUnixMs}`,
      request: digest,
      atMs: this.#options.clock.now(),
      hasBegun,
      isTrial: this.#ownTrials.delete(req.requestId),
      traits: [...segmentTraits(req), contentTrait(digest)],
    };
    const { crash, isTrial, traits } = suspect;
    const fields = { req: req.requestId, endpoint: endpoint.id, crash, hasBegun, isTrial, traits };
    this.#options.log.request("request_suspected", fields);
    this.#options.metrics.countCrashSuspect(hasBegun);
    if (hasBegun) return this.#report([suspect]);
    this.#notBegun.push(suspect);
    if (this.#notBegun.length === 1) {
      this.#options.clock.setTimer(NOT_BEGUN_DELAY_MS, () => this.#reportNotBegun());
    }
  }

  /** Records that an endpoint began to respond to a request at `atMs`, and went on well or completed the response. */
  recordHarmless(req: InboundRequest, atMs: number): void {
    this.#ownTrials.delete(req.requestId);
    let isKnown = false;
    for (const trait of this.#traitsOf(req)) {
      this.#attribution.recordHarmless(trait, atMs);
      if (!this.#attribution.isRecorded(trait)) continue;
      isKnown = true;
      this.#exchange?.offerEvidence(trait);
    }
    if (isKnown) this.#onChange();
  }

  /** Calls `fn` when more or other requests may be refused than before. */
  registerListener(fn: () => void): Undo {
    this.#listeners = [...this.#listeners, fn];
    return () => {
      this.#listeners = this.#listeners.filter((l) => l !== fn);
    };
  }

  /** Shares what is known with all gateways until the returned function is called. */
  share(network: PeerGroup): Undo {
    const { clock, rng, log } = this.#options;
    const exchange = new CrashEvidenceExchange({
      attribution: this.#attribution,
      network,
      clock,
      rng,
      log,
      onChange: () => this.#onChange(),
      onTrial: (traits) => {
        for (const trait of traits) {
          if (!this.#attribution.isRecorded(trait)) continue;
          this.#peerTrialUntilMs.set(trait, clock.now() + PEER_TRIAL_MS);
        }
      },
    });
    this.#exchange = exchange;
    const undoOld = network.registerHandler("suspects", (_peer, { suspects }) => {
      const now = clock.now();
      for (const suspect of decodeOldSuspects(suspects, contentTrait, now)) {
        this.#attribution.recordCrash(suspect, now);
      }
      this.#onChange();
    });
    return () => {
      this.#exchange = null;
      exchange.close();
      undoOld();
    };
  }

  #report(suspects: readonly CrashSuspect[]): void {
    const now = this.#options.clock.now();
    for (const suspect of suspects) this.#attribution.recordCrash(suspect, now);
    this.#exchange?.publish({ suspects });
    this.#onChange();
  }

  /** Reports the requests without a response, those first whose content was at an earlier crash too. */
  #reportNotBegun(): void {
    const suspects = this.#notBegun.map((suspect) => this.#withoutInnocentSegments(suspect));
    this.#notBegun = [];
    const wasSeen = ({ traits }: CrashSuspect) =>
      traits.some((trait) => isContentTrait(trait) && this.#attribution.isRecorded(trait));
    const inOrder = suspects.sort((a, b) => Number(wasSeen(b)) - Number(wasSeen(a)));
    const reported = inOrder.slice(0, MAX_NOT_BEGUN_REPORTED);
    if (reported.length < suspects.length) {
      const requests = suspects.length - reported.length;
      this.#options.log.state("crash_suspects_left_out", { requests });
    }
    this.#report(reported);
  }

  /** Drops the segments of a request without a response if another one at the same crash had begun its response. */
  #withoutInnocentSegments(suspect: CrashSuspect): CrashSuspect {
    if (!this.#attribution.hasBegunSuspect(suspect.crash)) return suspect;
    return { ...suspect, traits: suspect.traits.filter(isContentTrait) };
  }

  #isOnTrial(trait: Trait, requestId: string, nowMs: number): boolean {
    for (const [id, traits] of this.#ownTrials) {
      if (id !== requestId && traits.includes(trait)) return true;
    }
    return (this.#peerTrialUntilMs.get(trait) ?? -Infinity) > nowMs;
  }

  /** The traits that may matter now. The digest of a request is only computed if one was at a crash. */
  #traitsOf(req: InboundRequest): readonly Trait[] {
    const segments = segmentTraits(req);
    if (!this.#attribution.hasContents) return segments;
    return [...segments, contentTrait(digestOf(req))];
  }

  #onChange(): void {
    const now = this.#options.clock.now();
    const states = this.#attribution.states(now);
    for (const { trait, level, crashes, companions } of states) {
      if (this.#logged.get(trait) === level) continue;
      this.#logged.set(trait, level);
      // A trial that was announced for an earlier suspicion is over.
      this.#peerTrialUntilMs.delete(trait);
      this.#options.log.state(`trait_${level}`, { trait, crashes, companions });
    }
    const left = new Set(states.map(({ trait }) => trait));
    for (const [trait, level] of [...this.#logged]) {
      if (left.has(trait)) continue;
      this.#logged.delete(trait);
      this.#peerTrialUntilMs.delete(trait);
      const harmlessAtMs = this.#attribution.harmlessAtMs(trait);
      const evidenceAgeMs = harmlessAtMs === null ? null : Math.round(now - harmlessAtMs);
      this.#options.log.state("trait_cleared", { trait, was: level, evidenceAgeMs });
    }
    this.#options.metrics.setRefusedTraits(states.filter((s) => s.level === "refused").length);
    for (const listener of this.#listeners) listener();
  }
}

/** The segments of a request's prompt that other requests may have too: all but the last. */
function segmentTraits({ generation }: InboundRequest): readonly Trait[] {
  if (generation === null || generation.promptSegments.length < 2) return NO_TRAITS;
  return generation.promptSegments.slice(0, -1).slice(0, MAX_TRAITS - 1).map(({ id }) => {
    return segmentTrait(id.length <= MAX_SEGMENT_ID_LENGTH ? id.toLowerCase() : sha256(id));
  });
}

/** Identifies a request across its attempts and gateways: attempts differ in id, but not in path, account and body. */
function digestOf({ method, target, account, body }: InboundRequest): string {
  return sha256(`${method} ${target}\n${account?.id ?? ""}\n`, body);
}

function sha256(text: string, body: Buffer | null = null): string {
  const hash = createHash("sha256").update(text);
  if (body !== null) hash.update(body);
  return hash.digest("hex").slice(0, DIGEST_LENGTH);
}
