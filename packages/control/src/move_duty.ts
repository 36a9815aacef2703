/**
 * One entry's part in all moves: sends its evidence to the drivers, and drives the services whose lease it holds.
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
import { orderMembers, type PropagationMember } from "./tree.ts";

/** Entries that compete for a service's lease. All of them collect evidence, so that a takeover is warm. */
export const DRIVER_CANDIDATES = 3;
const TICK_MS = 500;
/** Evidence that a driver takes in per second at most; with many entries each reports more rarely. */
const EVIDENCE_BYTES_PER_SECOND = 3_000;
const REPORT_BYTES = 250;

/** What the duty asks of its surroundings. */
export interface MoveDutyDependencies {
  /** Sends evidence to another entry. Loss is harmless. */
  sendEvidence(to: PropagationMember, evidence: Evidence): void;
  /** Sends an order to the side of an endpoint. */
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

interface Drive {
  readonly lease: Lease;
  readonly driver: MoveDriver;
  readonly pacer: OrderPacer;
  nextLeaseMs: number;
}

/** The entries that may drive a service, the first choice first. */
export function driverCandidates(
  service: ServiceId,
  entries: readonly PropagationMember[],
): PropagationMember[] {
  return orderMembers(entries, `driver/${service}`).slice(0, DRIVER_CANDIDATES);
}

/** Time between two reports of one of `entries` entries. */
export function evidenceIntervalMs(entries: number): number {
  return Math.max(TICK_MS, 1_000 * entries * REPORT_BYTES / EVIDENCE_BYTES_PER_SECOND);
}

/** See the module comment. */
export class MoveDuty {
  readonly #o: MoveDutyOptions;
  readonly #drives = new Map<ServiceId, Drive>();
  #entries: readonly PropagationMember[] = [];
  #nextReportMs = 0;

  constructor(options: MoveDutyOptions) {
    this.#o = options;
  }

  /** Sets the entries there are, this one included. */
  setEntries(entries: readonly PropagationMember[]): void {
    this.#entries = entries;
  }

  start(): Undo {
    const stop = this.#o.clock.setRepeating(TICK_MS, () => void this.tick());
    return () => {
      stop();
      for (const { lease } of this.#drives.values()) void lease.release().catch(() => {});
    };
  }

  /** Services that this entry drives at present. */
  driving(): ServiceId[] {
    return [...this.#drives].filter(([, d]) => d.lease.fence() !== null).map(([id]) => id);
  }

  /** Takes in another entry's evidence. */
  onEvidence(evidence: Evidence): void {
    for (const { driver } of this.#drives.values()) driver.onEvidence(evidence);
  }

  /** Records what an endpoint is seen to run, from its load reports. */
  recordObserved(done: OrderDone): void {
    for (const { pacer } of this.#drives.values()) pacer.recordDone(done);
  }

  async tick(): Promise<void> {
    const view = this.#o.log.state.current();
    this.#report(view);
    const services = this.#candidateFor(view);
    this.#leave(services);
    await Promise.all(services.map((service) => this.#drive(service, view)));
  }

  #candidateFor(view: ConfigView): ServiceId[] {
    return [...view.services.keys()].filter((service) =>
      driverCandidates(service, this.#entries).some((m) => m.key === this.#o.self.key)
    );
  }

  #leave(services: readonly ServiceId[]): void {
    for (const [service, drive] of this.#drives) {
      if (services.includes(service)) continue;
      this.#drives.delete(service);
      void drive.lease.release().catch(() => {});
    }
  }

  #report(view: ConfigView): void {
    const { clock, router, rng, self, dependencies } = this.#o;
    const now = clock.now();
    const open = [...view.moves.values()].filter((m) => m.state === "open");
    // An entry that stops by itself tells at once.
    const urgent = open.some((m) => router.stopped(m.service));
    if (!urgent && now < this.#nextReportMs) return;
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

  async #drive(service: ServiceId, view: ConfigView): Promise<void> {
    const drive = this.#drives.get(service) ?? this.#create(service);
    await this.#stepLease(drive);
    await drive.driver.tick();
    this.#sendOrders(service, view, drive);
  }

  async #stepLease(drive: Drive): Promise<void> {
    const { clock, rng } = this.#o;
    if (clock.now() < drive.nextLeaseMs) return;
    drive.nextLeaseMs = clock.now() + LEASE_TTL_MS / 3 * (0.8 + 0.4 * rng.next());
    try {
      await drive.lease.renewOrAcquire();
    } catch {
      // Without the store nobody drives; deadlines hold by rule.
    }
  }

  #create(service: ServiceId): Drive {
    const { store, clock, process, log, orders } = this.#o;
    const lease = new Lease(store, clock, { duty: driverDuty(service), process });
    const driver = new MoveDriver({ service, lease, log, clock, who: process }, log.state);
    const drive = { lease, driver, pacer: new OrderPacer(orders), nextLeaseMs: 0 };
    this.#drives.set(service, drive);
    return drive;
  }

  #sendOrders(id: ServiceId, view: ConfigView, { lease, pacer }: Drive): void {
    const fence = lease.fence();
    const service = view.services.get(id);
    if (fence === null || service === undefined || service.kind === "plain") return;
    for (const e of view.endpoints.values()) {
      const version = service.versions.find((v) => v.id === e.version);
      if (e.service !== id || version === undefined) continue;
      const { model, adapters } = version;
      pacer.setDesired({ endpoint: e.id, version: e.version, model, adapters, role: "serve" });
    }
    for (const order of pacer.due(fence, this.#o.clock.now())) {
      this.#o.dependencies.sendOrder(order).then((done) => pacer.recordDone(done), () => {});
    }
  }
}
