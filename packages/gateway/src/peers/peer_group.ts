/**
 * The gateways of a deployment as each of them sees the others.
 *
 * @module
 */
import { type DataCentreId, fractionOf, type Undo } from "@wisteriapick/core";
import type { Message } from "@wisteriapick/wire";

/** A gateway that is linked. */
export interface LinkedPeer {
  readonly name: string;
  readonly dataCentre: DataCentreId;
  /** Cores that it may use; `null` where that is not known. */
  readonly processorShare: number | null;
}

/** Handles messages of one kind; `peer` is the sender's name. */
export type PeerHandler<K extends Message["kind"]> = (
  peer: string,
  msg: Extract<Message, { kind: K }>,
) => void;

/** Sends to other gateways and chooses among them without asking them. */
export abstract class PeerGroup {
  /** This gateway's name. */
  abstract readonly name: string;

  /** Cores that this gateway may use. */
  abstract readonly processorShare: number;

  /** Peers that can be sent to now. */
  abstract linked(): readonly LinkedPeer[];

  /** Sends to one peer. Returns false where it is not linked. */
  abstract send(peer: string, msg: Message): boolean;

  /** Calls `fn` when a peer becomes linked. */
  abstract registerUp(fn: (peer: string) => void): Undo;

  /** Calls `fn` when a peer is no longer linked. */
  abstract registerDown(fn: (peer: string) => void): Undo;

  /** Handles one kind of message; the newest handler replaces the one before. */
  abstract registerHandler<K extends Message["kind"]>(kind: K, handler: PeerHandler<K>): Undo;

  /** Sends to every linked peer. */
  broadcast(msg: Message): void {
    for (const { name } of this.linked()) this.send(name, msg);
  }

  /** Whether a peer can be sent to now. */
  isLinked(peer: string): boolean {
    return this.linked().some(({ name }) => name === peer);
  }

  /**
   * The gateway that keeps a duty: the same for all that are linked with each other. Where views differ, two may both
   * be named, which duties must bear. Weak hosts keep none while stronger ones are there.
   */
  coordinatorOf(duty: string, excluded: ReadonlySet<string> = NONE_EXCLUDED): string {
    const self = { name: this.name, processorShare: this.processorShare };
    const all = [self, ...this.linked()].filter(({ name }) => !excluded.has(name));
    const most = Math.max(0, ...all.map(({ processorShare }) => processorShare ?? 0));
    let best = this.name;
    let bestWeight = -1;
    for (const { name, processorShare } of all) {
      if ((processorShare ?? 0) < STRONG_SHARE * most) continue;
      const weight = weightOf(duty, name);
      if (weight > bestWeight) {
        best = name;
        bestWeight = weight;
      }
    }
    return best;
  }

  /** Place of this gateway in the line for a duty, among those whose data centre passes `among`; 0 is first. */
  rankOf(duty: string, among: (dataCentre: DataCentreId) => boolean): number {
    const own = weightOf(duty, this.name);
    return this.linked().filter(({ name, dataCentre }) =>
      among(dataCentre) && weightOf(duty, name) > own
    ).length;
  }
}

const NONE_EXCLUDED: ReadonlySet<string> = new Set();
/** A gateway with this part of the strongest one's processor or more takes duties for all. */
const STRONG_SHARE = 0.6;
/** Weights that are kept, as duties are looked up every few milliseconds. */
const MAX_WEIGHTS = 4_096;
const weights = new Map<string, number>();

/** Rendezvous weight: each duty gives its own order, and one gateway more or less moves few duties. */
function weightOf(duty: string, name: string): number {
  const key = `${duty}/${name}`;
  let weight = weights.get(key);
  if (weight !== undefined) return weight;
  if (weights.size >= MAX_WEIGHTS) weights.clear();
  weight = fractionOf(key);
  weights.set(key, weight);
  return weight;
}
