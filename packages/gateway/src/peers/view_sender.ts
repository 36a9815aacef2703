/**
 * Sends this gateway's views to peers: changes since what each of them was sent, and the newest state alone to one whose
 * link is congested.
 *
 * @module
 */
import type { Undo } from "@wisteriapick/core";
import { FOLLOWED_KINDS, type FollowedKind, type StoreView } from "../state/store_view.ts";
import type { StorePosition } from "../state/store_position.ts";
import type { PeerGroup } from "./peer_group.ts";
import { ViewChangesEncoder } from "./view_changes.ts";

/** Where the content of a view comes from. */
export interface ViewOrigin {
  /** Name of the gateway that read it from the store. */
  readonly origin: string;
  /** Number of gateways that have passed it on. */
  readonly hops: number;
  /** Time since it was read, in milliseconds; `null` if unknown. */
  readonly ageMs: number | null;
}

/** Options of {@link ViewSender}. */
export interface ViewSenderOptions {
  readonly view: StoreView;
  readonly network: PeerGroup;
  readonly originOf: (kind: FollowedKind) => ViewOrigin;
}

/** What a peer has been sent over its present link. */
interface PeerProgress {
  /** Position of each kind that the peer was sent. */
  readonly sent: Map<FollowedKind, StorePosition>;
  /** Kinds that wait for room on the link. */
  readonly waiting: Set<FollowedKind>;
}

/** Sends views to peers. */
export class ViewSender {
  readonly #options: ViewSenderOptions;
  readonly #encoder: ViewChangesEncoder;
  readonly #peers = new Map<string, PeerProgress>();
  readonly #undos: Undo[];

  constructor(options: ViewSenderOptions) {
    this.#options = options;
    this.#encoder = new ViewChangesEncoder(options.view);
    const { network } = options;
    this.#undos = [
      network.registerRoom((peer) => this.#onRoom(peer)),
      network.registerDown((peer) => void this.#peers.delete(peer)),
    ];
  }

  /**
   * Sends a peer what it has not been sent yet, or that nothing has changed. A peer that was sent nothing so far learns
   * the position, and requests what it lacks.
   */
  offer(peer: string, kind: FollowedKind): void {
    const { network, view } = this.#options;
    const { sent, waiting } = this.#progressOf(peer);
    if (network.isCongested(peer)) return void waiting.add(kind);
    waiting.delete(kind);
    this.#send(peer, kind, sent.get(kind) ?? view.kinds[kind].position);
  }

  /** Answers a peer's request: what it lacks at `from`, or the whole content if that is of another era or revision 0. */
  answer(peer: string, kind: FollowedKind, from: StorePosition): void {
    const { sent, waiting } = this.#progressOf(peer);
    sent.set(kind, from);
    if (this.#options.network.isCongested(peer)) waiting.add(kind);
    else this.#send(peer, kind, from);
  }

  close(): void {
    for (const undo of this.#undos) undo();
  }

  #onRoom(peer: string): void {
    const waiting = [...this.#peers.get(peer)?.waiting ?? []];
    for (const kind of FOLLOWED_KINDS) if (waiting.includes(kind)) this.offer(peer, kind);
  }

  #send(peer: string, kind: FollowedKind, from: StorePosition): void {
    const { network, view, originOf } = this.#options;
    const { position, known } = view.kinds[kind];
    const changes = known
      ? this.#encoder.encode(kind, from)
      : { from: 0, isCompressed: false, changes: new Uint8Array(0) };
    const isSent = network.send(peer, {
      kind: "view_update",
      view: kind,
      revision: position.revision,
      ...originOf(kind),
      ...changes,
      era: position.era,
      version: kind === "config" ? view.configVersion ?? undefined : undefined,
    });
    if (isSent) this.#progressOf(peer).sent.set(kind, position);
  }

  #progressOf(peer: string): PeerProgress {
    let progress = this.#peers.get(peer);
    if (progress === undefined) {
      this.#peers.set(peer, progress = { sent: new Map(), waiting: new Set() });
    }
    return progress;
  }
}
