/**
 * A whole side process: links, configuration, host list and the side itself.
 *
 * @module
 */
import { type EndpointId, fence, type ServiceId, type Undo, World } from "@wisteriapick/core";
import { driverDuty, readLeaseFence } from "@wisteriapick/control";
import type { ModelEngine } from "@wisteriapick/clients";
import { Quarantine, SideAdmission, type SideAdmissionOptions } from "@wisteriapick/policy";
import { FixedAdmission } from "./fixed_admission.ts";
import { makeProcessParts, type ProcessOptions, type ProcessParts } from "./process_parts.ts";
import { Side, type SideOptions } from "./side.ts";

/** What a side process is made with. It has an `engine` or the `origin` of a plain service. */
export interface SideProcessOptions extends ProcessOptions {
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly engine?: ModelEngine;
  readonly origin?: string;
  /** Calls at once that a plain service bears. */
  readonly slots?: number;
  readonly admission?: SideAdmissionOptions;
  /** Replaces parts of the side. */
  readonly side?: Partial<SideOptions>;
}

const DEFAULT_SLOTS = 32;

/**
 * See the module comment.
 *
 * @example
 * ```ts
 * const process = await SideProcess.start(options);
 * console.log(process.linkAddress);
 * await process.drain();
 * ```
 */
export class SideProcess {
  readonly side: Side;
  readonly linkAddress: string;
  readonly world: World;
  readonly #parts: ProcessParts;
  readonly #undos: Undo[];

  private constructor(options: SideProcessOptions, parts: ProcessParts) {
    const { clock, store, service, endpoint } = options;
    this.#parts = parts;
    this.linkAddress = parts.linkAddress;
    this.world = new World({ clock });
    const quarantine = new Quarantine();
    this.side = new Side({
      identity: options.identity,
      endpoint,
      service,
      engine: options.engine,
      origin: options.origin,
      admission: makeAdmission(options, quarantine),
      quarantine: options.engine === undefined ? undefined : quarantine,
      config: parts.control.state,
      router: parts.router,
      world: this.world,
      log: parts.log,
      metrics: parts.metrics,
      // Both the lease object and the engine know fencing numbers; the side takes the higher one.
      readHighestFence: async () => fence(await readLeaseFence(store, driverDuty(service))),
      ...options.side,
    });
    this.#undos = [
      parts.start(),
      parts.control.membership.registerSnapshotListener(({ hosts }) => {
        const own = hosts.find((h) => h.endpoint?.id === endpoint);
        // A host that is not listed yet has just started.
        this.side.setLeaving(own?.state === "leaving");
      }),
    ];
    this.side.start();
  }

  /** Binds the link address and starts. */
  static async start(options: SideProcessOptions): Promise<SideProcess> {
    return SideProcess.withParts(options, await makeProcessParts(options));
  }

  /** Starts on given links. */
  static withParts(options: SideProcessOptions, parts: ProcessParts): SideProcess {
    return new SideProcess(options, parts);
  }

  /** Whether the side takes work and has a recent configuration. */
  get ready(): boolean {
    return this.side.ready && this.#parts.control.state.ready();
  }

  /** Planned stop: refuses new work and ends when everything that runs has been delivered. */
  async drain(): Promise<void> {
    await this.side.drain();
    await this.close();
  }

  /** Stops at once. */
  async close(): Promise<void> {
    for (const undo of this.#undos.splice(0)) undo();
    this.side.close();
    await this.#parts.close();
  }
}

function makeAdmission(options: SideProcessOptions, quarantine: Quarantine) {
  const { endpoint, engine, slots = DEFAULT_SLOTS, admission } = options;
  if (engine === undefined) return new FixedAdmission({ slots });
  return new SideAdmission({ name: endpoint, quarantine, ...admission });
}
