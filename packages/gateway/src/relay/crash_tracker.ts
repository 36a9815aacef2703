/**
 * Tracks which requests were running at endpoints that crashed, and quarantines a request that was at several crashes,
 * at all gateways.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Clock, Undo } from "@wisteriapick/core";
import { Quarantine } from "@wisteriapick/policy";
import type { PeerGroup } from "../peers/peer_group.ts";
import type { EndpointRecord } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { InboundRequest } from "./inbound.ts";

/** Crashes after which a request is refused: a harmless request is rarely at so many, a harmful one soon is. */
const CRASH_LIMIT = 3;
/** Time without a crash after which a request is no longer suspected, in milliseconds. */
const SUSPECT_MS = 60_000;
/** Length of the first quarantine, in milliseconds. */
const QUARANTINE_MS = 60_000;
const DIGEST_LENGTH = 24;

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Records crashes by request, and says which requests are quarantined. */
export class CrashTracker {
  readonly #clock: Clock;
  readonly #log: DecisionLog;
  readonly #quarantine = new Quarantine({
    crashes: CRASH_LIMIT,
    suspectMs: SUSPECT_MS,
    quarantineMs: QUARANTINE_MS,
  });
  #listeners: readonly (() => void)[] = [];

  constructor({ clock, log }: CrashTrackerOptions) {
    this.#clock = clock;
    this.#log = log;
  }

  /** Time for which a request is still refused, in milliseconds; 0 for one that may run. */
  refusedForMs(req: InboundRequest): number {
    if (this.#quarantine.size === 0) return 0;
    return this.#quarantine.remainingMs(digestOf(req), this.#clock.now());
  }

  /** Whether a request has been at more than one crash. */
  isSuspected(req: InboundRequest): boolean {
    return this.#quarantine.crashCount(digestOf(req), this.#clock.now()) > 1;
  }

  /** Records that an endpoint broke off its response to a request. */
  recordCrash(req: InboundRequest, endpoint: EndpointRecord): void {
    const digest = digestOf(req);
    const crashId = `${endpoint.id}/${endpoint.startedAtUnixMs}`;
    const now = this.#clock.now();
    this.#quarantine.recordCrash(digest, crashId, now);
    this.#log.state("request_suspected", {
      req: req.requestId,
      digest,
      endpoint: endpoint.id,
      crashes: this.#quarantine.crashCount(digest, now),
      refusedForMs: Math.round(this.#quarantine.remainingMs(digest, now)),
    });
    for (const listener of this.#listeners) listener();
  }

  /** Records that a request was completed, which clears it. */
  recordCompleted(req: InboundRequest): void {
    if (this.#quarantine.size === 0) return;
    this.#quarantine.recordCleared(digestOf(req), this.#clock.now());
  }

  /** Shares the suspected requests with all gateways until the returned function is called. */
  share(network: PeerGroup): Undo {
    const message = () => ({
      kind: "suspects" as const,
      suspects: this.#quarantine.entries(this.#clock.now()),
    });
    const listener = () => network.broadcast(message());
    this.#listeners = [...this.#listeners, listener];
    const undos = [
      network.registerUp((peer) => void network.send(peer, message())),
      network.registerHandler("suspects", (_peer, { suspects }) => {
        this.#quarantine.merge(suspects, this.#clock.now());
      }),
    ];
    return () => {
      this.#listeners = this.#listeners.filter((l) => l !== listener);
      for (const undo of undos) undo();
    };
  }
}

/** Identifies a request across its attempts and gateways: attempts differ in id, but not in path, account and body. */
function digestOf({ method, target, account, body }: InboundRequest): string {
  const hash = createHash("sha256").update(`${method} ${target}\n${account?.id ?? ""}\n`);
  if (body !== null) hash.update(body);
  return hash.digest("hex").slice(0, DIGEST_LENGTH);
}
