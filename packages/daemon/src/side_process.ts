/**
 * A complete side process: links, configuration, host list and the side itself.
 *
 * @module
 */
import { type EndpointId, fence, type ServiceId, type Undo, World } from "@wisteriapick/core";
import { driverDuty, readLeaseFence } from "@wisteriapick/control";
import type { ModelEngine } from "@wisteriapick/clients";
import { Quarantine, SideAdmission, type SideAdmissionOptions } from "@wisteriapick/policy";
import { FixedAdmission } from "./fixed_admission.ts";
import {
  makeProcessComponents,
  type ProcessComponents,
  type ProcessOptions,
} from "./process_components.ts";
import { Side, type SideOptions } from "./side.ts";

/** Options of a {@link SideProcess}. A model service has an `engine`, a plain service an `origin`. */
export interface SideProcessOptions extends ProcessOptions {
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly engine?: ModelEngine;
  readonly origin?: string;
  /** Number of concurrent calls that a plain service sustains. */
  readonly slots?: number;
  readonly admission?: SideAdmissionOptions;
  /** Overrides options of the side. */
  readonly side?: Partial<SideOptions>;
}

const DEFAULT_SLOTS = 32;

/**
 * Runs a {@link Side} with the links and the control process that it needs.
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
  readonly #components: ProcessComponents;
  readonly #undos: Undo[];

  private constructor(options: SideProcessOptions, components: ProcessComponents) {
    const { clock, store, service, endpoint } = options;
    this.#components = components;
    this.linkAddress = components.linkAddress;
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
      config: components.control.state,
      router: components.router,
      world: this.world,
      log: components.log,
      metrics: components.metrics,
      // The lease object and the engine both record fencing numbers; the side uses the higher one.
      readHighestFence: async () => fence(await readLeaseFence(store, driverDuty(service))),
      ...options.side,
    });
    this.#undos = [
      components.start(),
      components.control.membership.registerSnapshotListener(({ hosts }) => {
        const own = hosts.find((h) => h.endpoint?.id === endpoint);
        // A host that is missing from the list has just started and is not leaving.
        this.side.setLeaving(own?.state === "leaving");
      }),
    ];
    this.side.start();
  }

  /** Binds the link address and starts the side. */
  static async start(options: SideProcessOptions): Promise<SideProcess> {
    return SideProcess.withComponents(options, await makeProcessComponents(options));
  }

  /** Starts the side on existing links. */
  static withComponents(options: SideProcessOptions, components: ProcessComponents): SideProcess {
    return new SideProcess(options, components);
  }

  /** Whether the side accepts work and has a recent configuration. */
  get ready(): boolean {
    return this.side.ready && this.#components.control.state.ready();
  }

  /** Planned stop: refuses new work and resolves once all running work has been delivered. */
  async drain(): Promise<void> {
    await this.side.drain();
    await this.close();
  }

  /** Stops at once and abandons running work. */
  async close(): Promise<void> {
    for (const undo of this.#undos.splice(0)) undo();
    this.side.close();
    await this.#components.close();
  }
}

function makeAdmission(options: SideProcessOptions, quarantine: Quarantine) {
  const { endpoint, engine, slots = DEFAULT_SLOTS, admission } = options;
  if (engine === undefined) return new FixedAdmission({ slots });
  return new SideAdmission({ name: endpoint, quarantine, ...admission });
}
