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
}

/** Handles messages of one kind. `peer` is the sender's name. */
export type PeerHandler<K extends Message["kind"]> = (
  peer: string,
  msg: Extract<Message, { kind: K }>,
) => void;

/** Sends messages to other gateways, and chooses among them by a rule that needs no messages. */
export abstract class PeerGroup {
  /** This gateway's name. */
  abstract readonly name: string;

  /** Processor cores that this gateway may use. */
  abstract readonly processorShare: number;

  /** Peers that can receive messages now. */
  abstract linked(): readonly LinkedPeer[];

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
    const self = { name: this.name, processorShare: this.processorShare };
    const all = [self, ...this.linked()].filter(({ name }) => !excluded.has(name));
    const strongest = Math.max(0, ...all.map(({ processorShare }) => processorShare ?? 0));
    let best = this.name;
    let bestWeight = -1;
    for (const { name, processorShare } of all) {
      if ((processorShare ?? 0) < STRONG_SHARE * strongest) continue;
      const weight = weightOf(duty, name);
      if (weight > bestWeight) {
        best = name;
        bestWeight = weight;
      }
    }
    return best;
  }

  /** This gateway's rank for a duty among the gateways whose data centre passes `among`; 0 is first. */
  rankOf(duty: string, among: (dataCentre: DataCentreId) => boolean): number {
    const own = weightOf(duty, this.name);
    return this.linked().filter(({ name, dataCentre }) =>
      among(dataCentre) && weightOf(duty, name) > own
    ).length;
  }
}

const NONE_EXCLUDED: ReadonlySet<string> = new Set();
/** A gateway can perform duties for all if it has at least this share of the strongest one's cores. */
const STRONG_SHARE = 0.6;
/** Weights are cached, as duties are looked up every few milliseconds. */
const MAX_CACHED_WEIGHTS = 4_096;
const cachedWeights = new Map<string, number>();

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
