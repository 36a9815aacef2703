/**
 * The moves at one entry, which sends its evidence to the drivers and drives the services whose lease it holds.
 *
 * @module
 */
import type { Clock, ProcessId, Rng, ServiceId, Undo } from "@wisteriapick/core";
import type { ObjectStore } from "@wisteriapick/clients";
import type { Evidence, Order, OrderDone } from "@wisteriapick/wire";
import type { ConfigView } from "./config_document.ts";
import type { ConfigLog } from "./config_log.ts";
import { Lease, LEASE_TTL_MS } from "./lease.ts";
import { driverDuty, MoveDriver } from "./move_driver.ts";
import type { MoveRouter } from "./move_router.ts";
import { OrderPacer, type OrderPacerOptions } from "./order_pacer.ts";
import { type PropagationMember, sortByRendezvousHash } from "./tree.ts";

/** Entries that compete for a service's lease. All of them collect evidence, so that a takeover loses none. */
export const DRIVER_CANDIDATES = 3;
const TICK_MS = 500;
/** Evidence that a driver receives per second at most. With many entries each one reports less often. */
const EVIDENCE_BYTES_PER_SECOND = 3_000;
/** Size of one report. */
const REPORT_BYTES = 250;

/** Messages that the duty sends, implemented by the entry. */
export interface MoveDutyDependencies {
  /** Sends evidence to another entry. The message may be lost. */
  sendEvidence(to: PropagationMember, evidence: Evidence): void;
  /** Sends an order to the side of an endpoint and returns its response. */
  sendOrder(order: Order): Promise<OrderDone>;
}

/** Options of {@link MoveDuty}. */
export interface MoveDutyOptions {
  readonly self: PropagationMember;
  readonly process: ProcessId;
  readonly store: ObjectStore;
  /** Its state is the configuration in force at this entry. */
  readonly log: ConfigLog;
  readonly router: MoveRouter;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly dependencies: MoveDutyDependencies;
  readonly orders?: OrderPacerOptions;
}

interface DrivenService {
  readonly lease: Lease;
  readonly driver: MoveDriver;
  readonly pacer: OrderPacer;
  nextRenewalMs: number;
}

/** The entries that may drive a service, the first candidate first. */
export function driverCandidates(
  service: ServiceId,
  entries: readonly PropagationMember[],
): PropagationMember[] {
  return sortByRendezvousHash(entries, `driver/${service}`).slice(0, DRIVER_CANDIDATES);
}

/** Mean time between two reports of an entry when there are `entries` entries. */
export function evidenceIntervalMs(entries: number): number {
  return Math.max(TICK_MS, 1_000 * entries * REPORT_BYTES / EVIDENCE_BYTES_PER_SECOND);
}

/** The task of an entry in all moves; it drives each service under that service's lease. */
export class MoveDuty {
  readonly #o: MoveDutyOptions;
  readonly #driven = new Map<ServiceId, DrivenService>();
  #entries: readonly PropagationMember[] = [];
  #nextReportMs = 0;

  constructor(options: MoveDutyOptions) {
    this.#o = options;
  }

  /** Sets the entries of the cluster, this one included. */
  setEntries(entries: readonly PropagationMember[]): void {
    this.#entries = entries;
  }

  start(): Undo {
    const stop = this.#o.clock.setRepeating(TICK_MS, () => void this.tick());
    return () => {
      stop();
      for (const { lease } of this.#driven.values()) void lease.release().catch(() => {});
    };
  }

  /** Services that this entry drives now. */
  drivenServices(): ServiceId[] {
    return [...this.#driven].filter(([, d]) => d.lease.fence() !== null).map(([id]) => id);
  }

  /** Adds another entry's evidence. */
  onEvidence(evidence: Evidence): void {
    for (const { driver } of this.#driven.values()) driver.onEvidence(evidence);
  }

  /** Records the state of an endpoint as its load reports show it. */
  recordObservedState(done: OrderDone): void {
    for (const { pacer } of this.#driven.values()) pacer.recordOrderDone(done);
  }

  async tick(): Promise<void> {
    const view = this.#o.log.state.current();
    this.#reportEvidence(view);
    const services = this.#candidateServices(view);
    this.#releaseOthers(services);
    await Promise.all(services.map((service) => this.#driveService(service, view)));
  }

  #candidateServices(view: ConfigView): ServiceId[] {
    return [...view.services.keys()].filter((service) =>
      driverCandidates(service, this.#entries).some((m) => m.key === this.#o.self.key)
    );
  }

  #releaseOthers(services: readonly ServiceId[]): void {
    for (const [service, driven] of this.#driven) {
      if (services.includes(service)) continue;
      this.#driven.delete(service);
      void driven.lease.release().catch(() => {});
    }
  }

  #reportEvidence(view: ConfigView): void {
    const { clock, router, rng, self, dependencies } = this.#o;
    const now = clock.now();
    const open = [...view.moves.values()].filter((m) => m.state === "open");
    // An entry that stopped on its own evidence reports at once.
    const isUrgent = open.some((m) => router.isStopped(m.service));
    if (!isUrgent && now < this.#nextReportMs) return;
    this.#nextReportMs = now + evidenceIntervalMs(this.#entries.length) * (0.5 + rng.next());
    const evidence = router.takeEvidence();
    if (evidence === null) return;
    const receivers = new Map(
      open.flatMap((m) => driverCandidates(m.service, this.#entries)).map((m) => [m.key, m]),
    );
    for (const member of receivers.values()) {
      if (member.key === self.key) this.onEvidence(evidence);
      else dependencies.sendEvidence(member, evidence);
    }
  }

  async #driveService(service: ServiceId, view: ConfigView): Promise<void> {
    const driven = this.#driven.get(service) ?? this.#create(service);
    await this.#renewLease(driven);
    await driven.driver.tick();
    this.#sendOrders(service, view, driven);
  }

  async #renewLease(driven: DrivenService): Promise<void> {
    const { clock, rng } = this.#o;
    if (clock.now() < driven.nextRenewalMs) return;
    driven.nextRenewalMs = clock.now() + LEASE_TTL_MS / 3 * (0.8 + 0.4 * rng.next());
    try {
      await driven.lease.renewOrAcquire();
    } catch {
      // Without the store no process can drive a move; the deadline rule still ends it in time.
    }
  }

  #create(service: ServiceId): DrivenService {
    const { store, clock, process, log, orders } = this.#o;
    const lease = new Lease(store, clock, { duty: driverDuty(service), process });
    const driver = new MoveDriver({ service, lease, log, clock, who: process }, log.state);
    const driven = { lease, driver, pacer: new OrderPacer(orders), nextRenewalMs: 0 };
    this.#driven.set(service, driven);
    return driven;
  }

  #sendOrders(id: ServiceId, view: ConfigView, { lease, pacer }: DrivenService): void {
    const fence = lease.fence();
    const service = view.services.get(id);
    if (fence === null || service === undefined || service.kind === "plain") return;
    for (const e of view.endpoints.values()) {
      const version = service.versions.find((v) => v.id === e.version);
      if (e.service !== id || version === undefined) continue;
      const { model, adapters } = version;
      pacer.setDesired({ endpoint: e.id, version: e.version, model, adapters, role: "serve" });
    }
    for (const order of pacer.takeDueOrders(fence, this.#o.clock.now())) {
      this.#o.dependencies.sendOrder(order).then((done) => pacer.recordOrderDone(done), () => {});
    }
  }
}
