/**
 * An entry of a run: the complete entry process, including its HTTP server, on in-memory connections.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type Duplex, duplexPair } from "node:stream";
import {
  type DataCentreId,
  hostId,
  type ProcessId,
  processId,
  type RequestId,
} from "@wisteriapick/core";
import { EntryProcess } from "@wisteriapick/daemon";
import { CheckProcess } from "./check_process.ts";
import type { RunContext } from "./context.ts";
import type { PausableClock } from "./pausable_clock.ts";

/** Name and location of an entry. */
export interface CheckEntryOptions {
  readonly name: string;
  readonly dataCentre: DataCentreId;
  readonly address: string;
}

/** Runs the real entry process and accepts callers' connections for it. */
export class CheckEntry extends CheckProcess<EntryProcess> {
  readonly options: CheckEntryOptions;
  readonly #connections = new Map<Duplex, RequestId>();

  constructor(ctx: RunContext, options: CheckEntryOptions) {
    super(ctx);
    this.options = options;
  }

  /** Result of the load balancer's health check. */
  get isHealthy(): boolean {
    return this.running?.main.entry.isHealthy ?? false;
  }

  /** Opens a caller's connection for one request. */
  connect(req: RequestId): Duplex {
    const [near, far] = duplexPair();
    this.#connections.set(near, req);
    near.once("close", () => this.#connections.delete(near));
    this.running!.main.entry.accept(far);
    return near;
  }

  override kill(): void {
    if (this.running === null) return;
    super.kill();
    for (const connection of [...this.#connections.keys()]) connection.destroy();
    this.#connections.clear();
  }

  /** Performs a planned stop: accepts no new work, lets requests finish, then ends the process. */
  async stop(): Promise<void> {
    const running = this.running;
    if (running === null || !this.isHealthy) return;
    const { recorder, clock, overrides } = this.ctx;
    const { process, main } = running;
    recorder.record({ atMs: clock.now(), type: "process_stop_planned", process });
    if (overrides.entryDrains ?? true) await main.entry.drain();
    if (this.running !== running) return;
    for (const req of this.#connections.values()) {
      recorder.record({ atMs: clock.now(), type: "request_cut", process, req });
    }
    this.kill();
  }

  protected makeId(start: number): ProcessId {
    return processId(`${this.options.name}.${start}`);
  }

  protected makeMain(process: ProcessId, clock: PausableClock) {
    const { name, dataCentre, address } = this.options;
    const identity = { role: "entry", process, host: hostId(name), dataCentre } as const;
    const { options, components } = this.ctx.makeProcess(identity, address, clock);
    const config = this.ctx.configOf(components);
    const { versions } = this.ctx.overrides;
    let ids = 0;
    const makeId = (prefix: string) => `${prefix}-${process}-${++ids}`;
    const makeNonce = () =>
      createHash("sha256").update(makeId("nonce")).digest("base64url").slice(0, 16);
    const main = EntryProcess.withComponents({
      ...options,
      listen: { host: "127.0.0.1", port: 0 },
      entry: {
        config,
        makeId,
        idempotency: { makeNonce },
        ...(versions === undefined ? {} : { versions }),
      },
    }, components);
    return { main, config };
  }
}
