/**
 * Links between processes of one run, in memory and on the run's clock, with faults that a run can inject.
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

/** Messages in flight per stream and direction before `send` returns false. */
const STREAM_CREDIT = 256;
/** A link on which nothing arrives for this long is dead, as on real links. */
const SILENCE_TIMEOUT_MS = 2_000;
/** Share of the answers that go astray while crossing is on. */
const CROSSING_SHARE = 0.05;
const DEFAULT_REQUEST_TIMEOUT_MS = 5_000;

function linkError(reason: LinkReason): WpError {
  return { type: "link", message: `link closed: ${reason}`, reason };
}

/** Options of {@link MemoryNetwork}. Delays are one way. */
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
  readonly #frozen = new Set<ProcessId>();
  #extraDelayMs = 0;
  #duplicates = false;
  #crossing = false;

  constructor({ clock, rng, delayMs = 0.5, jitterMs = 0.5 }: MemoryNetworkOptions) {
    this.clock = clock;
    this.#rng = rng;
    this.#delayMs = delayMs;
    this.#jitterMs = jitterMs;
  }

  /** Accepts links at an address until undone. */
  listen(address: string, identity: Identity, acceptor: LinkAcceptor): Undo {
    this.#listeners.set(address, { identity, acceptor });
    return () => void this.#listeners.delete(address);
  }

  /** Opens a link to an address. */
  async connect(address: string, identity: Identity, acceptor: LinkAcceptor): Promise<Link> {
    await this.clock.sleep(2 * this.delay());
    const listener = this.#listeners.get(address);
    if (listener === undefined || this.#frozen.has(listener.identity.process)) {
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

  /** Ends a process's links at once, as its death does. */
  kill(process: ProcessId): void {
    for (const link of [...this.#links]) {
      if (link.self.process === process || link.peer.process === process) link.break("closed");
    }
  }

  /** Makes the present links of a process silent for good; new links work. */
  silence(process: ProcessId): void {
    for (const link of this.#links) {
      if (link.self.process === process || link.peer.process === process) link.silent = true;
    }
  }

  /** Delays every later message by this much more. */
  setExtraDelay(ms: number): void {
    this.#extraDelayMs = ms;
  }

  /** Delivers answers on streams twice while set. */
  setDuplicates(on: boolean): void {
    this.#duplicates = on;
  }

  /** Delivers some answers on another stream of the same link while set. */
  setCrossing(on: boolean): void {
    this.#crossing = on;
  }

  get duplicates(): boolean {
    return this.#duplicates;
  }

  /** Whether the next answer goes astray. */
  drawCrossing(): boolean {
    return this.#crossing && this.#rng.chance(CROSSING_SHARE);
  }

  /** Stops a process's traffic as a paused process does; messages are delivered after it goes on. */
  setFrozen(process: ProcessId, frozen: boolean): void {
    if (frozen) this.#frozen.add(process);
    else this.#frozen.delete(process);
  }

  isFrozen(process: ProcessId): boolean {
    return this.#frozen.has(process);
  }

  delay(): number {
    return this.#delayMs + this.#extraDelayMs + this.#rng.next() * this.#jitterMs;
  }

  forget(link: MemoryLink): void {
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
  // Deliveries keep their order: none may be due before the one sent earlier.
  #lastDueMs = 0;
  #undoSilence: Undo | null = null;
  #held: ((other: MemoryLink) => void)[] = [];

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
    // Ids of the two directions must not meet.
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
        onMessage: (answer) => {
          undo();
          resolve(answer);
          stream.end();
        },
        onClose: (err) => {
          undo();
          fail(err ?? linkError("closed"));
        },
      });
      const undo = this.#network.clock.setTimer(timeoutMs, () => {
        fail({ type: "timeout", message: `no answer to ${msg.kind}` });
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

  /** Closes both ends; the far one notices after the network's delay. */
  break(reason: LinkReason): void {
    const other = this.#other!;
    this.#shut(linkError(reason));
    this.#network.clock.setTimer(this.#network.delay(), () => other.#shut(linkError(reason)));
  }

  /** Runs `action` at the far end after the delay, unless the link is closed or silent by then. */
  deliver(action: (other: MemoryLink) => void): void {
    if (!this.#open) return;
    if (this.silent) {
      this.#noticeSilence();
      return;
    }
    const nowMs = this.#network.clock.now();
    this.#lastDueMs = Math.max(this.#lastDueMs, nowMs + this.#network.delay());
    this.#network.clock.setTimer(this.#lastDueMs - nowMs, () => this.#arrive(action));
  }

  stream(id: number): MemoryStream | undefined {
    return this.#streams.get(id);
  }

  /** Hands a message to its stream, or to another one while messages cross. */
  receive(id: number, msg: Message): void {
    const ids = [...this.#streams.keys()];
    const astray = ids.length > 1 && this.#network.drawCrossing();
    const target = astray ? ids.find((other) => other !== id)! : id;
    this.stream(target)?.receive(msg);
    if (this.#network.duplicates) this.stream(target)?.receive(msg);
  }

  drop(id: number): void {
    this.#streams.delete(id);
  }

  #arrive(action: (other: MemoryLink) => void): void {
    const other = this.#other!;
    if (!other.#open || this.silent) return;
    const frozen = this.#network.isFrozen(other.self.process);
    if (!frozen && this.#held.length === 0) return this.#perform(action);
    this.#held.push(action);
    if (this.#held.length === 1) this.#pollFrozen();
  }

  /** Delivers in order what arrived while the far process was paused. */
  #pollFrozen(): void {
    this.#network.clock.setTimer(1, () => {
      if (this.#network.isFrozen(this.#other!.self.process)) return this.#pollFrozen();
      const held = this.#held;
      this.#held = [];
      for (const action of held) this.#perform(action);
    });
  }

  #perform(action: (other: MemoryLink) => void): void {
    const other = this.#other!;
    if (!other.#open) return;
    try {
      action(other);
    } catch (e) {
      other.#shut(toWpError(e));
    }
  }

  #noticeSilence(): void {
    if (this.#undoSilence !== null) return;
    const notice = () => this.break("heartbeat_timeout");
    this.#undoSilence = this.#network.clock.setTimer(SILENCE_TIMEOUT_MS, notice);
  }

  #accept(id: number, msg: Message): void {
    const stream = new MemoryStream(this, id, { onMessage: () => {}, onClose: () => {} });
    this.#streams.set(id, stream);
    stream.handler = this.#acceptor.onStream(this, msg, stream);
  }

  #shut(err: WpError): void {
    if (!this.#open) return;
    this.#open = false;
    this.#undoSilence?.();
    this.#network.forget(this);
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
    this.#link.drop(this.#id);
    this.handler.onClose(err);
  }

  #finishWhenBothEnded(): void {
    if (this.#ended && this.#peerEnded) this.finish(null);
  }
}
