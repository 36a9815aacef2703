/**
 * A side that responds as a test scripts it, for faults that a real side does not produce.
 *
 * @module
 */
import {
  type Clock,
  endpointId,
  revision,
  serviceId,
  SystemClock,
  versionId,
} from "@wisteriapick/core";
import {
  type Call,
  type EndpointLoad,
  formatAddress,
  type Link,
  type LinkStream,
  listenLinks,
  type Message,
  type Resume,
  type Run,
} from "@wisteriapick/wire";
import { LinkRouter } from "../src/mod.ts";
import { CLUSTER_KEY, type Fleet, makeIdentity } from "./fixtures.ts";

/** A stream that an entry opened. */
export interface OpenedStream<M extends Message> {
  readonly link: Link;
  readonly msg: M;
  readonly stream: LinkStream;
  /** What arrived after the opening message. */
  readonly received: Message[];
}

/** How a scripted side responds. */
export interface Script {
  onRun?(opened: OpenedStream<Run>): void;
  onResume?(opened: OpenedStream<Resume>): void;
  onCall?(opened: OpenedStream<Call>): void;
  /** Called for each later message of a call. */
  onCallMessage?(opened: OpenedStream<Call>, msg: Message): void;
}

/** A side controlled by a test. */
export class ScriptedSide {
  readonly runs: OpenedStream<Run>[] = [];
  readonly resumes: OpenedStream<Resume>[] = [];
  readonly calls: OpenedStream<Call>[] = [];
  readonly #name: string;
  readonly #service: string;
  readonly #script: Script;
  readonly #clock: Clock = new SystemClock();
  #seq = 0;

  constructor(name: string, script: Script, { service = "scribe" }: { service?: string } = {}) {
    this.#name = name;
    this.#script = script;
    this.#service = service;
  }

  /** Starts the side and adds it to the fleet's host list. */
  async join(fleet: Fleet): Promise<void> {
    const router = new LinkRouter();
    router.registerStream("run", (link, msg, stream) => {
      const opened = this.#open(link, msg, stream, this.runs);
      this.#script.onRun?.(opened);
      return handlerOf(opened);
    });
    router.registerStream("resume", (link, msg, stream) => {
      const opened = this.#open(link, msg, stream, this.resumes);
      this.#script.onResume?.(opened);
      return handlerOf(opened);
    });
    router.registerStream("call", (link, msg, stream) => {
      const opened = this.#open(link, msg, stream, this.calls);
      this.#script.onCall?.(opened);
      return handlerOf(opened, (later) => this.#script.onCallMessage?.(opened, later));
    });
    const identity = makeIdentity("side", this.#name);
    const listener = await listenLinks({
      address: { host: "127.0.0.1", port: 0 },
      identity,
      clusterKey: CLUSTER_KEY,
      acceptor: router,
      clock: this.#clock,
    });
    fleet.onClose(() => listener.close());
    const address = formatAddress(listener.address);
    fleet.setHost(this.#name, this.#service, address, identity);
  }

  load(): EndpointLoad {
    return {
      endpoint: endpointId(this.#name),
      service: serviceId(this.#service),
      version: versionId("v1"),
      revision: revision(1),
      running: 0,
      queued: 0,
      allowance: 8,
      kvUsedTokens: 0,
      kvTotalTokens: 1_000,
      expectedWaitMs: 0,
      leaving: false,
      seq: ++this.#seq,
    };
  }

  sendAdmitted({ stream, msg }: OpenedStream<Run> | OpenedStream<Call>): void {
    const about = msg.kind === "run" ? msg.gen : msg.req;
    stream.send({ kind: "admitted", load: this.load(), about });
  }

  /** Sends tokens `from` to `to` - 1 of a generation on a stream. */
  sendTokens(stream: LinkStream, about: string, from: number, to: number, text = "t"): void {
    const items = Array.from({ length: to - from }, (_, i) => `${text}${from + i} `);
    stream.send({ kind: "tokens", offset: from, items, about });
  }

  sendEnd(stream: LinkStream, about: string, completionTokens: number): void {
    stream.send({
      kind: "end",
      reason: "stop",
      promptTokens: 3,
      cachedTokens: 0,
      completionTokens,
      load: this.load(),
      about,
    });
    stream.end();
  }

  /** Sends a complete response to a call. */
  sendResponse({ stream, msg }: OpenedStream<Call>, body: string, about: string = msg.req): void {
    const headers = [["content-type", "text/plain"]] as const;
    stream.send({ kind: "reply_head", status: 200, headers, load: this.load(), about });
    const bytes = Buffer.from(body);
    stream.send({ kind: "body", bytes, last: false, offset: 0, about });
    stream.send({
      kind: "body",
      bytes: Buffer.alloc(0),
      last: true,
      offset: bytes.length,
      about,
    });
    stream.end();
  }

  #open<M extends Message>(
    link: Link,
    msg: M,
    stream: LinkStream,
    list: OpenedStream<M>[],
  ): OpenedStream<M> {
    const opened = { link, msg, stream, received: [] };
    list.push(opened);
    return opened;
  }
}

function handlerOf(opened: OpenedStream<Message>, onMessage: (msg: Message) => void = () => {}) {
  return {
    onMessage: (msg: Message) => {
      opened.received.push(msg);
      onMessage(msg);
    },
    onClose: () => {},
  };
}
