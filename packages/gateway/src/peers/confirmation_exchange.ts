/**
 * Passes on to other gateways up to when the configuration is known to be the newest one. What a gateway may do with its
 * configuration ends some time after that moment, so the age that arrives is never smaller than the true one: the time
 * on links and in queues counts.
 *
 * Load pattern: hundreds of gateways of which one reads the store. Each gateway passes a confirmation to its children in
 * the spread tree, and asks the one that it comes from for its clock every few seconds.
 *
 * @module
 */
import type { SuspendAwareClock, Undo } from "@wisteriapick/core";
import type { ConfigConfirmed } from "@wisteriapick/wire";
import { isBefore, UNNAMED_ERA } from "../state/store_position.ts";
import type { KeyLease } from "../state/key_lease.ts";
import type { StoreView } from "../state/store_view.ts";
import { type ClockReading, PeerClocks } from "./peer_clocks.ts";
import type { PeerGroup } from "./peer_group.ts";
import { childrenOf, MAX_SPREAD_HOPS } from "./spread_tree.ts";

/** Options of {@link ConfirmationExchange}. */
export interface ConfirmationExchangeOptions {
  readonly view: StoreView;
  readonly network: PeerGroup;
  readonly elapsed: SuspendAwareClock;
  readonly lease: KeyLease;
  /** The gateways that exchange views, in the order of the spread tree. */
  readonly order: () => readonly string[];
}

type Confirmation = Omit<ConfigConfirmed, "kind">;

/** Protocol version from which on gateways exchange confirmations. */
const CONFIRMATIONS_SINCE_VERSION = 4;
/** A confirmation is passed on if it is newer than the last one by more than this, in milliseconds. */
const MIN_STEP_MS = 100;
/** Time after which an unanswered question for a peer's clock is repeated, in milliseconds. */
const QUESTION_TIMEOUT_MS = 300;

/** Sends and receives confirmations of the configuration. */
export class ConfirmationExchange {
  readonly #options: ConfirmationExchangeOptions;
  readonly #clocks = new PeerClocks();
  /** The last confirmation of each peer that could not be used yet. */
  readonly #waiting = new Map<string, Confirmation>();
  readonly #askedAtMs = new Map<string, number>();
  readonly #undos: Undo[];
  #origin: string;
  #hops = 0;
  #passedOnAtMs = -Infinity;

  constructor(options: ConfirmationExchangeOptions) {
    this.#options = options;
    const { network } = options;
    this.#origin = network.name;
    this.#undos = [
      network.registerHandler("config_confirmed", (peer, msg) => this.#onConfirmed(peer, msg)),
      network.registerHandler("clock_question", (peer, { askedAtMs }) => {
        const { ms: clockMs, epoch: clockEpoch } = this.#clock();
        network.send(peer, { kind: "clock_answer", askedAtMs, clockMs, clockEpoch });
      }),
      network.registerHandler("clock_answer", (peer, { askedAtMs, clockMs, clockEpoch }) => {
        this.#askedAtMs.delete(peer);
        const answer = { ms: clockMs, epoch: clockEpoch };
        this.#clocks.record(peer, { askedAtMs, answer, own: this.#clock() });
        this.#tryWaiting(peer);
      }),
      network.registerDown((peer) => {
        this.#clocks.forget(peer);
        this.#waiting.delete(peer);
        this.#askedAtMs.delete(peer);
      }),
    ];
  }

  /** Records a read of the configuration by this gateway, and passes it on. */
  recordRead(askedAtMs: number): void {
    const { lease, network } = this.#options;
    lease.confirm(askedAtMs, "store");
    this.#origin = network.name;
    this.#hops = 0;
    this.#passOn();
  }

  /** Tries the confirmations that wait for a newer view of the configuration. */
  onViewChanged(): void {
    for (const peer of [...this.#waiting.keys()]) this.#tryWaiting(peer);
  }

  /** Sends a peer the newest confirmation, if there is one. */
  sendTo(peer: string): void {
    const { lease, network, view, elapsed } = this.#options;
    const { confirmedAtMs } = lease;
    if (!lease.isEnforced || confirmedAtMs === -Infinity || !this.#understands(peer)) return;
    const ms = elapsed.now();
    network.send(peer, {
      kind: "config_confirmed",
      origin: this.#origin,
      hops: this.#hops,
      ...view.kinds.config.position,
      version: view.configVersion ?? undefined,
      ageMs: ms - confirmedAtMs,
      clockMs: ms,
      clockEpoch: elapsed.epoch,
    });
  }

  close(): void {
    for (const undo of this.#undos) undo();
  }

  #clock(): ClockReading {
    const { elapsed } = this.#options;
    return { ms: elapsed.now(), epoch: elapsed.epoch };
  }

  #understands(peer: string): boolean {
    return this.#options.network.linked().some(({ name, protocolVersion }) =>
      name === peer && protocolVersion >= CONFIRMATIONS_SINCE_VERSION
    );
  }

  #passOn(): void {
    const { network, order, lease } = this.#options;
    if (!lease.isEnforced || this.#hops >= MAX_SPREAD_HOPS) return;
    this.#passedOnAtMs = lease.confirmedAtMs;
    const children = childrenOf({ order: order(), root: this.#origin, self: network.name });
    for (const child of children) this.sendTo(child);
  }

  #onConfirmed(peer: string, confirmation: Confirmation): void {
    if (!this.#options.lease.isEnforced) return;
    this.#waiting.set(peer, confirmation);
    this.#tryWaiting(peer);
  }

  /** Uses a peer's confirmation if the clocks' distance is known and this gateway's view is as new as the peer's. */
  #tryWaiting(peer: string): void {
    const confirmation = this.#waiting.get(peer);
    if (confirmation === undefined) return;
    const { lease, view } = this.#options;
    const { origin, hops, era = UNNAMED_ERA, revision, version = -Infinity } = confirmation;
    const { ageMs, clockMs, clockEpoch } = confirmation;
    const reading = { ms: clockMs, epoch: clockEpoch };
    const own = this.#clock();
    if (this.#clocks.needsMeasurement(peer, reading, own)) this.#askClock(peer, own.ms);
    const sentAtMs = this.#clocks.sentAtMs(peer, reading, own);
    const { known, position } = view.kinds.config;
    if (sentAtMs === null || !known || isBefore(position, { era, revision })) return;
    // Where the store was restored, a peer may know a later version than the store has at this position.
    if ((view.configVersion ?? -Infinity) < version) return;
    this.#waiting.delete(peer);
    // What was confirmed of an earlier era says nothing about the store's present content.
    if (era !== position.era) return;
    lease.confirm(sentAtMs - ageMs, peer);
    if (lease.confirmedAtMs <= this.#passedOnAtMs + MIN_STEP_MS) return;
    this.#origin = origin;
    this.#hops = hops + 1;
    this.#passOn();
  }

  #askClock(peer: string, nowMs: number): void {
    const askedAtMs = this.#askedAtMs.get(peer) ?? -Infinity;
    if (nowMs - askedAtMs < QUESTION_TIMEOUT_MS) return;
    this.#askedAtMs.set(peer, nowMs);
    this.#options.network.send(peer, { kind: "clock_question", askedAtMs: nowMs });
  }
}
