/**
 * In-memory links between the processes of one run, on the run's clock, with faults that a run can inject.
 *
 * @module
 */
import {
  type Clock,
  type LinkReason,
  type ProcessId,
  raise,
  type Rng,
  toWpError,
  type Undo,
  type WpError,
  WpFailure,
} from "@wisteriapick/core";
import {
  type Identity,
  Link,
  type LinkAcceptor,
  LinkStream,
  type Message,
  type StreamHandler,
} from "@wisteriapick/wire";

/** Number of messages in flight, per stream and direction, at which `send` returns false. */
const STREAM_CREDIT = 256;
/** Time after which a link on which nothing arrives is closed, as on real links. */
const HEARTBEAT_TIMEOUT_MS = 2_000;
/** Share of the messages on streams that are misrouted while misrouting is on. */
const MISROUTED_SHARE = 0.05;
const DEFAULT_REQUEST_TIMEOUT_MS = 5_000;

function linkError(reason: LinkReason): WpError {
  return { type: "link", message: `link closed: ${reason}`, reason };
}

/** Options of {@link MemoryNetwork}. Delays are per direction. */
export interface MemoryNetworkOptions {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly delayMs?: number;
  readonly jitterMs?: number;
}

interface Listener {
  readonly identity: Identity;
  readonly acceptor: LinkAcceptor;
}

/** Addresses, links and faults of one run. */
export class MemoryNetwork {
  readonly clock: Clock;
  readonly #rng: Rng;
  readonly #delayMs: number;
  readonly #jitterMs: number;
  readonly #listeners = new Map<string, Listener>();
  readonly #links = new Set<MemoryLink>();
  readonly #paused = new Set<ProcessId>();
  #extraDelayMs = 0;
  #isDuplicating = false;
  #isMisrouting = false;

  constructor({ clock, rng, delayMs = 0.5, jitterMs = 0.5 }: MemoryNetworkOptions) {
    this.clock = clock;
    this.#rng = rng;
    this.#delayMs = delayMs;
    this.#jitterMs = jitterMs;
  }

  /** Accepts links at an address until the returned function is called. */
  listen(address: string, identity: Identity, acceptor: LinkAcceptor): Undo {
    this.#listeners.set(address, { identity, acceptor });
    return () => void this.#listeners.delete(address);
  }

  /** Opens a link to an address; fails with `connect_failed` if no process listens there or it is paused. */
  async connect(address: string, identity: Identity, acceptor: LinkAcceptor): Promise<Link> {
    await this.clock.sleep(2 * this.delay());
    const listener = this.#listeners.get(address);
    if (listener === undefined || this.#paused.has(listener.identity.process)) {
      raise({ type: "link", message: `cannot connect to ${address}`, reason: "connect_failed" });
    }
    const near = new MemoryLink(this, listener.identity, identity, acceptor);
    const far = new MemoryLink(this, identity, listener.identity, listener.acceptor);
    near.join(far);
    this.#links.add(near);
    this.#links.add(far);
    listener.acceptor.onLink?.(far);
    return near;
  }

  /** Closes all links of a process, as when the process dies. */
  kill(process: ProcessId): void {
    for (const link of [...this.#links]) {
      if (link.self.process === process || link.peer.process === process) link.break("closed");
    }
  }

  /** Makes the open links of a process silent until they close; new links work. */
  silence(process: ProcessId): void {
    for (const link of this.#links) {
      if (link.self.process === process || link.peer.process === process) link.silent = true;
    }
  }

  /** Sets a delay that is added to every message sent from now on. */
  setExtraDelay(ms: number): void {
    this.#extraDelayMs = ms;
  }

  /** While on, messages on streams are delivered twice. */
  setDuplicating(on: boolean): void {
    this.#isDuplicating = on;
  }

  /** While on, some messages are delivered to another stream of the same link. */
  setMisrouting(on: boolean): void {
    this.#isMisrouting = on;
  }

  get isDuplicating(): boolean {
    return this.#isDuplicating;
  }

  /** Draws whether the next message is misrouted. */
  drawMisrouting(): boolean {
    return this.#isMisrouting && this.#rng.chance(MISROUTED_SHARE);
  }

  /** Pauses or resumes the delivery of messages to a process; messages that arrive during a pause come after it. */
  setPaused(process: ProcessId, paused: boolean): void {
    if (paused) this.#paused.add(process);
    else this.#paused.delete(process);
  }

  isPaused(process: ProcessId): boolean {
    return this.#paused.has(process);
  }

  delay(): number {
    return this.#delayMs + this.#extraDelayMs + this.#rng.next() * this.#jitterMs;
  }

  removeLink(link: MemoryLink): void {
    this.#links.delete(link);
  }
}

/** One end of a link. */
class MemoryLink extends Link {
  readonly peer: Identity;
  readonly self: Identity;
  silent = false;
  readonly #network: MemoryNetwork;
  readonly #acceptor: LinkAcceptor;
  readonly #streams = new Map<number, MemoryStream>();
  readonly #closeListeners = new Set<(err: WpError) => void>();
  #other: MemoryLink | null = null;
  #nextStream = 0;
  #open = true;
  // Keeps messages in order: none is delivered before one that was sent earlier.
  #lastDeliveryMs = 0;
  #stopHeartbeatTimeout: Undo | null = null;
  #deferred: ((other: MemoryLink) => void)[] = [];

  constructor(network: MemoryNetwork, peer: Identity, self: Identity, acceptor: LinkAcceptor) {
    super();
    this.#network = network;
    this.peer = peer;
    this.self = self;
    this.#acceptor = acceptor;
  }

  get open(): boolean {
    return this.#open;
  }

  join(other: MemoryLink): void {
    this.#other = other;
    other.#other = this;
    // One end opens streams with even ids, the other with odd ids, so that ids never collide.
    other.#nextStream = 1;
  }

  openStream(msg: Message, handler: StreamHandler): LinkStream {
    const id = this.#nextStream;
    this.#nextStream += 2;
    const stream = new MemoryStream(this, id, handler);
    if (!this.#open) {
      queueMicrotask(() => stream.finish(linkError("closed")));
      return stream;
    }
    this.#streams.set(id, stream);
    this.deliver((other) => other.#accept(id, msg));
    return stream;
  }

  notify(msg: Message): void {
    this.deliver((other) => other.#acceptor.onNotify(other, msg));
  }

  request(msg: Message, { timeoutMs = DEFAULT_REQUEST_TIMEOUT_MS } = {}): Promise<Message> {
    return new Promise((resolve, reject) => {
      const fail = (err: WpError) => reject(new WpFailure(err));
      const stream = this.openStream(msg, {
        onMessage: (response) => {
          stopTimer();
          resolve(response);
          stream.end();
        },
        onClose: (err) => {
          stopTimer();
          fail(err ?? linkError("closed"));
        },
      });
      const stopTimer = this.#network.clock.setTimer(timeoutMs, () => {
        fail({ type: "timeout", message: `no response to ${msg.kind}` });
        stream.abort();
      });
    });
  }

  close(): void {
    this.break("closed");
  }

  registerCloseListener(fn: (err: WpError) => void): Undo {
    this.#closeListeners.add(fn);
    return () => void this.#closeListeners.delete(fn);
  }

  /** Closes both ends; the far end closes after the network's delay. */
  break(reason: LinkReason): void {
    const other = this.#other!;
    this.#closeOwnEnd(linkError(reason));
    this.#network.clock.setTimer(
      this.#network.delay(),
      () => other.#closeOwnEnd(linkError(reason)),
    );
  }

  /** Runs `action` at the far end after the network's delay, unless the link is closed or silent by then. */
  deliver(action: (other: MemoryLink) => void): void {
    if (!this.#open) return;
    if (this.silent) {
      this.#startHeartbeatTimeout();
      return;
    }
    const nowMs = this.#network.clock.now();
    this.#lastDeliveryMs = Math.max(this.#lastDeliveryMs, nowMs + this.#network.delay());
    this.#network.clock.setTimer(this.#lastDeliveryMs - nowMs, () => this.#arrive(action));
  }

  stream(id: number): MemoryStream | undefined {
    return this.#streams.get(id);
  }

  /** Delivers a message to its stream, or to another one if it is misrouted. */
  receive(id: number, msg: Message): void {
    const ids = [...this.#streams.keys()];
    const isMisrouted = ids.length > 1 && this.#network.drawMisrouting();
    const target = isMisrouted ? ids.find((other) => other !== id)! : id;
    this.stream(target)?.receive(msg);
    if (this.#network.isDuplicating) this.stream(target)?.receive(msg);
  }

  removeStream(id: number): void {
    this.#streams.delete(id);
  }

  #arrive(action: (other: MemoryLink) => void): void {
    const other = this.#other!;
    if (!other.#open || this.silent) return;
    const isPaused = this.#network.isPaused(other.self.process);
    if (!isPaused && this.#deferred.length === 0) return this.#perform(action);
    this.#deferred.push(action);
    if (this.#deferred.length === 1) this.#deliverAfterPause();
  }

  /** Delivers the messages that arrived while the far process was paused, in order, once it has resumed. */
  #deliverAfterPause(): void {
    this.#network.clock.setTimer(1, () => {
      if (this.#network.isPaused(this.#other!.self.process)) return this.#deliverAfterPause();
      const deferred = this.#deferred;
      this.#deferred = [];
      for (const action of deferred) this.#perform(action);
    });
  }

  #perform(action: (other: MemoryLink) => void): void {
    const other = this.#other!;
    if (!other.#open) return;
    try {
      action(other);
    } catch (e) {
      other.#closeOwnEnd(toWpError(e));
    }
  }

  #startHeartbeatTimeout(): void {
    if (this.#stopHeartbeatTimeout !== null) return;
    const onTimeout = () => this.break("heartbeat_timeout");
    this.#stopHeartbeatTimeout = this.#network.clock.setTimer(HEARTBEAT_TIMEOUT_MS, onTimeout);
  }

  #accept(id: number, msg: Message): void {
    const stream = new MemoryStream(this, id, { onMessage: () => {}, onClose: () => {} });
    this.#streams.set(id, stream);
    stream.handler = this.#acceptor.onStream(this, msg, stream);
  }

  #closeOwnEnd(err: WpError): void {
    if (!this.#open) return;
    this.#open = false;
    this.#stopHeartbeatTimeout?.();
    this.#network.removeLink(this);
    const streams = [...this.#streams.values()];
    this.#streams.clear();
    for (const stream of streams) stream.finish(err);
    for (const fn of this.#closeListeners) fn(err);
  }
}

/** One stream of a memory link. */
class MemoryStream extends LinkStream {
  handler: StreamHandler;
  readonly #link: MemoryLink;
  readonly #id: number;
  #inFlight = 0;
  #blocked = false;
  #ended = false;
  #peerEnded = false;
  #finished = false;

  constructor(link: MemoryLink, id: number, handler: StreamHandler) {
    super();
    this.#link = link;
    this.#id = id;
    this.handler = handler;
  }

  send(msg: Message): boolean {
    if (this.#ended || this.#finished) return false;
    this.#inFlight++;
    this.#link.deliver((other) => {
      other.receive(this.#id, msg);
      other.deliver((back) => back.stream(this.#id)?.credit());
    });
    this.#blocked = this.#inFlight >= STREAM_CREDIT;
    return !this.#blocked;
  }

  end(): void {
    if (this.#ended || this.#finished) return;
    this.#ended = true;
    this.#link.deliver((other) => other.stream(this.#id)?.peerEnded());
    this.#finishWhenBothEnded();
  }

  abort(): void {
    if (this.#finished) return;
    this.#link.deliver((other) => other.stream(this.#id)?.finish(linkError("closed")));
    this.finish(linkError("closed"));
  }

  receive(msg: Message): void {
    if (!this.#finished) this.handler.onMessage(msg);
  }

  credit(): void {
    this.#inFlight--;
    if (!this.#blocked || this.#inFlight >= STREAM_CREDIT / 2) return;
    this.#blocked = false;
    this.handler.onDrain?.();
  }

  peerEnded(): void {
    this.#peerEnded = true;
    this.#finishWhenBothEnded();
  }

  finish(err: WpError | null): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#link.removeStream(this.#id);
    this.handler.onClose(err);
  }

  #finishWhenBothEnded(): void {
    if (this.#ended && this.#peerEnded) this.finish(null);
  }
}
