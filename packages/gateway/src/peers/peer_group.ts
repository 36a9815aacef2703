/**
 * A gateway's view of the other gateways of its deployment.
 *
 * @module
 */
import { type DataCentreId, fractionOf, type Undo } from "@wisteriapick/core";
import type { Message } from "@wisteriapick/wire";

/** A gateway with an open link to this one. */
export interface LinkedPeer {
  readonly name: string;
  readonly dataCentre: DataCentreId;
  /** Processor cores that it may use; `null` if unknown. */
  readonly processorShare: number | null;
  /** Bandwidth of its link; `null` if unknown. */
  readonly linkMbps: number | null;
  /** Protocol version of the link to it. */
  readonly protocolVersion: number;
}

/** A gateway that may perform a duty. */
type Candidate = Pick<LinkedPeer, "name" | "processorShare" | "linkMbps">;

/** Handles messages of one kind. `peer` is the sender's name. */
export type PeerHandler<K extends Message["kind"]> = (
  peer: string,
  msg: Extract<Message, { kind: K }>,
) => void;

/** Sends messages to other gateways, and chooses among them by a rule that needs no messages. */
export abstract class PeerGroup {
  readonly #orders = new Map<
    string,
    { readonly membershipVersion: number; readonly order: readonly string[] }
  >();

  /** This gateway's name. */
  abstract readonly name: string;

  /** Processor cores that this gateway may use. */
  abstract readonly processorShare: number;

  /** Bandwidth of this gateway's link; `null` if unknown. */
  abstract readonly linkMbps: number | null;

  /** Changes whenever a link opens or closes, or what is known of a peer changes. */
  abstract readonly membershipVersion: number;

  /** Peers that can receive messages now. */
  abstract linked(): readonly LinkedPeer[];

  /**
   * Whether so much waits to be sent to a peer that messages with state should wait. A sender then keeps the newest state
   * only, and sends it when `registerRoom` reports room.
   */
  abstract isCongested(peer: string): boolean;

  /** Calls `fn` when a congested link has room again. */
  abstract registerRoom(fn: (peer: string) => void): Undo;

  /** Sends a message to one peer. Returns false if it is not linked. */
  abstract send(peer: string, msg: Message): boolean;

  /** Calls `fn` when a peer becomes linked. */
  abstract registerUp(fn: (peer: string) => void): Undo;

  /** Calls `fn` when a peer's last link closes. */
  abstract registerDown(fn: (peer: string) => void): Undo;

  /** Registers the handler of one kind of message, in place of an earlier one. */
  abstract registerHandler<K extends Message["kind"]>(kind: K, handler: PeerHandler<K>): Undo;

  /** Sends a message to every linked peer. */
  broadcast(msg: Message): void {
    for (const { name } of this.linked()) this.send(name, msg);
  }

  /** Whether a peer can receive messages now. */
  isLinked(peer: string): boolean {
    return this.linked().some(({ name }) => name === peer);
  }

  /**
   * Returns the gateway that performs a duty for all. Gateways that are all linked with each other get the same result.
   * While their views differ, two gateways may both be chosen, so a duty must tolerate two holders. Gateways on weak
   * hosts are not chosen while stronger ones are linked.
   */
  coordinatorOf(duty: string, excluded: ReadonlySet<string> = NONE_EXCLUDED): string {
    const candidates = [this.#self(), ...this.linked()].filter(({ name }) => !excluded.has(name));
    return dutyOrder(duty, strongest(candidates))[0] ?? this.name;
  }

  /**
   * All gateways that pass `among`, this one included, in the order in which they are to perform a duty. Those on weak
   * hosts come last. `among` must be the same for all calls with one duty, as the order is computed when links change.
   */
  orderOf(duty: string, among: (peer: LinkedPeer) => boolean): readonly string[] {
    const { membershipVersion } = this;
    let known = this.#orders.get(duty);
    if (known?.membershipVersion !== membershipVersion) {
      known = { membershipVersion, order: this.#computeOrder(duty, among) };
      this.#orders.set(duty, known);
    }
    return known.order;
  }

  /** Whether this gateway is one of the first `count` for a duty that several perform. */
  isAmongFirst(duty: string, count: number): boolean {
    return this.orderOf(duty, () => true).indexOf(this.name) < count;
  }

  #computeOrder(duty: string, among: (peer: LinkedPeer) => boolean): string[] {
    const candidates = [this.#self(), ...this.linked().filter(among)];
    const strong = strongest(candidates);
    const weak = candidates.filter((candidate) => !strong.includes(candidate));
    return [...dutyOrder(duty, strong), ...dutyOrder(duty, weak)];
  }

  #self(): Candidate {
    return { name: this.name, processorShare: this.processorShare, linkMbps: this.linkMbps };
  }
}

const NONE_EXCLUDED: ReadonlySet<string> = new Set();
/** A gateway can perform duties for all if it has at least this share of the strongest one's cores and bandwidth. */
const STRONG_SHARE = 0.6;
/** Weights are cached, as duties are looked up every few milliseconds. */
const MAX_CACHED_WEIGHTS = 4_096;
const cachedWeights = new Map<string, number>();

/** The candidates that are strong enough to perform duties for all; all of them if none is strong in every respect. */
function strongest(candidates: readonly Candidate[]): readonly Candidate[] {
  const mostCores = Math.max(0, ...candidates.map((c) => c.processorShare ?? 0));
  const mostMbps = Math.max(0, ...candidates.map((c) => c.linkMbps ?? 0));
  const strong = candidates.filter(({ processorShare, linkMbps }) =>
    (processorShare ?? 0) >= STRONG_SHARE * mostCores && (linkMbps ?? 0) >= STRONG_SHARE * mostMbps
  );
  return strong.length > 0 ? strong : candidates;
}

function dutyOrder(duty: string, candidates: readonly Candidate[]): string[] {
  return candidates
    .map(({ name }) => ({ name, weight: weightOf(duty, name) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ name }) => name);
}

/** Rendezvous hash: each duty has its own order of gateways, and a gateway that joins or leaves moves few duties. */
function weightOf(duty: string, name: string): number {
  const key = `${duty}/${name}`;
  let weight = cachedWeights.get(key);
  if (weight !== undefined) return weight;
  if (cachedWeights.size >= MAX_CACHED_WEIGHTS) cachedWeights.clear();
  weight = fractionOf(key);
  cachedWeights.set(key, weight);
  return weight;
}
