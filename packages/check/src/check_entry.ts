/**
 * One entry of a run: the relay, placement and configuration of an entry process without its HTTP surface.
 *
 * @module
 */
import {
  createMetrics,
  type DataCentreId,
  generationId,
  hostId,
  type ProcessId,
  processId,
  type RequestId,
  Rng,
  type Undo,
  World,
} from "@wisteriapick/core";
import { type ConfigView, StoreWatcher } from "@wisteriapick/control";
import {
  type AnswerSink,
  ConfiguredVersions,
  Directory,
  followGeneration,
  followHostList,
  GenerationRelay,
  LinkRouter,
  promptShape,
  RELAY_LIMITS,
  type RelayOutcome,
} from "@wisteriapick/daemon";
import { type ResumeSigner, TokenCursor } from "@wisteriapick/delivery";
import { SubsetPlacement } from "@wisteriapick/policy";
import type { Identity } from "@wisteriapick/wire";
import { CHECK_ACCOUNT, CHECK_SERVICE, watchRevisions } from "./check_config.ts";
import type { RunContext } from "./context.ts";
import { MemoryLinks } from "./memory_links.ts";
import { PausableClock } from "./pausable_clock.ts";

/** One request of a caller. */
export interface CheckRequest {
  readonly req: RequestId;
  readonly prompt: string;
  readonly streamed: boolean;
}

interface Parts {
  readonly process: ProcessId;
  readonly clock: PausableClock;
  readonly links: MemoryLinks;
  readonly relay: GenerationRelay;
  readonly config: StoreWatcher;
  readonly undos: Undo[];
}

/** See the module comment. */
export class CheckEntry {
  readonly name: string;
  readonly #ctx: RunContext;
  readonly #dataCentre: DataCentreId;
  readonly #signer: ResumeSigner;
  readonly #open = new Map<AbortController, RequestId>();
  #starts = 0;
  #parts: Parts | null = null;
  #draining = false;

  constructor(
    ctx: RunContext,
    { name, dataCentre, signer }: { name: string; dataCentre: DataCentreId; signer: ResumeSigner },
  ) {
    this.#ctx = ctx;
    this.name = name;
    this.#dataCentre = dataCentre;
    this.#signer = signer;
  }

  get process(): ProcessId | null {
    return this.#parts?.process ?? null;
  }

  /** What the balancer's health check sees. */
  get healthy(): boolean {
    return this.#parts !== null && !this.#draining && this.#parts.config.state.ready();
  }

  start(): void {
    if (this.#parts !== null) return;
    this.#draining = false;
    const process = processId(`${this.name}.${++this.#starts}`);
    const { recorder, network, store, hosts } = this.#ctx;
    const clock = new PausableClock(this.#ctx.clock);
    const dataCentre = this.#dataCentre;
    const identity: Identity = { role: "entry", process, host: hostId(this.name), dataCentre };
    const rng = new Rng(this.#ctx.rng.fork(process).seed);
    const router = new LinkRouter();
    const links = new MemoryLinks(network, identity, router);
    const world = new World({ clock });
    const directory = new Directory(world);
    const placement = new SubsetPlacement({ entry: this.name, dataCentre, rng });
    const config = new StoreWatcher(store, clock, rng.fork("watch"));
    let made = 0;
    const relay = new GenerationRelay({
      clock,
      directory,
      links,
      placement,
      signer: this.#signer,
      metrics: createMetrics(),
      limits: RELAY_LIMITS,
      makeGenerationId: () => generationId(`${process}-g${++made}`),
      versionOf: () => null,
      noteLoad: (load) => placement.recordLoad(load, clock.now()),
    });
    recorder.record({ atMs: clock.now(), type: "process_started", process });
    const applyConfig = (view: ConfigView) =>
      placement.setDataCentres(
        new Set([...view.dataCentres.values()].filter((d) => d.state !== "out").map((d) => d.id)),
      );
    const undos = [
      directory.registerListener((change) => {
        for (const row of change.set) placement.setEndpoint(row);
        for (const id of change.removed) placement.removeEndpoint(id);
      }),
      router.registerNotify("load", (_link, msg) => placement.recordLoad(msg.load, clock.now())),
      watchRevisions(this.#ctx, process, config.state),
      config.state.registerListener(applyConfig),
      config.start(),
      followHostList(hosts, directory, { clock }).undo,
    ];
    this.#parts = { process, clock, links, relay, config, undos };
  }

  /** Answers one request as the HTTP surface would. */
  async run(request: CheckRequest, sink: AnswerSink, gone: AbortController): Promise<RelayOutcome> {
    const { relay, config, clock } = this.#parts!;
    const view = config.state.current();
    const service = view.services.get(CHECK_SERVICE)!;
    const format = "chat";
    this.#open.set(gone, request.req);
    try {
      return await relay.run({
        run: {
          req: request.req,
          service: CHECK_SERVICE,
          account: CHECK_ACCOUNT,
          weight: 1,
          route: format,
          priority: 0,
          revision: view.revision,
          prompt: request.prompt,
          maxTokens: 2_000,
          ...promptShape(format, CHECK_SERVICE, request.prompt),
        },
        versions: new ConfiguredVersions().choose(view, service, request.req),
        completion: {
          format,
          model: CHECK_SERVICE,
          prompt: request.prompt,
          maxTokens: 2_000,
          stream: request.streamed,
          includeUsage: false,
        },
        expectedTokens: 64,
        deadlineMs: clock.now() + 15_000,
        gone: gone.signal,
      }, sink);
    } finally {
      this.#open.delete(gone);
    }
  }

  /** Gives the rest of a generation, as `Last-Event-ID` asks for. */
  async resume(
    { req }: CheckRequest,
    lastEventId: string,
    sink: AnswerSink,
    gone: AbortController,
  ): Promise<void> {
    const { links, clock } = this.#parts!;
    const { ref, offset } = this.#signer.verify(lastEventId, {
      account: CHECK_ACCOUNT,
      wallMs: clock.wall(),
    });
    const opening = {
      kind: "resume",
      gen: ref.gen,
      account: ref.account,
      offset: offset + 1,
    } as const;
    const limits = RELAY_LIMITS;
    const cursor = new TokenCursor(offset + 1);
    this.#open.set(gone, req);
    const end = await followGeneration(ref.side, opening, {
      clock,
      links,
      limits,
      sink,
      cursor,
      gone: gone.signal,
    });
    this.#open.delete(gone);
    if (end.type === "end" && end.end.reason !== "cancelled") sink.end(end.end.reason, end.end);
    else if (end.type === "fail") sink.fail(end.refusal);
    else if (end.type !== "caller_gone") {
      sink.fail({ type: "side_lost", message: "the side cannot be reached", notRun: false });
    }
  }

  /** Ends the process at once; its callers' connections break. */
  kill(): void {
    if (this.#parts === null) return;
    const { process, links, undos, clock } = this.#parts;
    this.#ctx.recorder.record({ atMs: clock.now(), type: "process_killed", process });
    for (const undo of undos) undo();
    links.close();
    this.#ctx.network.kill(process);
    this.#parts = null;
    for (const gone of this.#open.keys()) gone.abort("killed");
    this.#open.clear();
  }

  /** Stops as planned: no new work, the rest finishes, then the process ends. */
  async stop(): Promise<void> {
    const parts = this.#parts;
    if (parts === null || this.#draining) return;
    this.#draining = true;
    const { process, clock } = parts;
    this.#ctx.recorder.record({ atMs: clock.now(), type: "process_stop_planned", process });
    while (this.#mustWait(parts)) await this.#ctx.clock.sleep(20);
    if (this.#parts !== parts) return;
    for (const req of this.#open.values()) {
      this.#ctx.recorder.record({ atMs: clock.now(), type: "request_cut", process, req });
    }
    this.kill();
  }

  #mustWait(parts: Parts): boolean {
    const waits = this.#ctx.overrides.entryWaitsForRequests ?? true;
    return waits && this.#open.size > 0 && this.#parts === parts;
  }

  pause(): void {
    if (this.#parts === null) return;
    this.#parts.clock.pause();
    this.#ctx.network.setFrozen(this.#parts.process, true);
    this.#ctx.setConnected(this.#parts.process, false);
  }

  resumeProcess(): void {
    if (this.#parts === null) return;
    this.#ctx.network.setFrozen(this.#parts.process, false);
    this.#ctx.setConnected(this.#parts.process, true);
    this.#parts.clock.resume();
  }
}
