/**
 * An entry's part in moves: it reports evidence to the candidates for each service's driver and, where it is a
 * candidate, drives the move while it holds the service's lease.
 *
 * @module
 */
import type { Clock, Logger, ProcessId, ServiceId, Undo } from "@wisteriapick/core";
import {
  type ConfigView,
  type ControlProcess,
  driverDuty,
  Lease,
  LEASE_TTL_MS,
  type Move,
  MoveDriver,
  type MoveRouter,
  orderMembers,
  OrderPacer,
  type SpreadMember,
} from "@wisteriapick/control";
import type { ObjectStore } from "@wisteriapick/platform";
import type { Evidence, Order } from "@wisteriapick/wire";
import type { Directory } from "./directory.ts";
import type { LinkRouter } from "./link_router.ts";
import type { LinkSource } from "./link_source.ts";

/** Entries that may drive the moves of one service; a second and third keep warm evidence. */
export const DRIVER_CANDIDATES = 3;
const EVIDENCE_EVERY_MS = 2_000;
const DRIVE_EVERY_MS = 500;
const ORDER_TIMEOUT_MS = 5_000;

/** Parts of {@link MoveDuties}. */
export interface MoveDutiesOptions {
  readonly control: ControlProcess;
  readonly router: MoveRouter;
  readonly links: LinkSource;
  readonly acceptor: LinkRouter;
  readonly directory: Directory;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: Logger;
  readonly process: ProcessId;
  /** Key of this process among the members. */
  readonly memberKey: string;
}

interface Duty {
  readonly lease: Lease;
  readonly driver: MoveDriver;
  readonly pacer: OrderPacer;
  nextLeaseMs: number;
  stepping: boolean;
}

/** See the module comment. */
export class MoveDuties {
  readonly #o: MoveDutiesOptions;
  readonly #duties = new Map<ServiceId, Duty>();

  constructor(options: MoveDutiesOptions) {
    this.#o = options;
  }

  start(): Undo {
    const { clock, acceptor } = this.#o;
    const undos = [
      acceptor.registerNotify("evidence", (_link, msg) => this.#onEvidence(msg)),
      clock.setRepeating(EVIDENCE_EVERY_MS, () => this.#report()),
      clock.setRepeating(DRIVE_EVERY_MS, () => this.#drive()),
    ];
    return () => undos.forEach((undo) => undo());
  }

  /** The entries that may drive a service's moves, the same at every process with the same members. */
  candidates(service: ServiceId): readonly SpreadMember[] {
    const entries = this.#o.control.membership.members().filter((m) => m.key.endsWith("/entry"));
    return orderMembers(entries, `driver/${service}`).slice(0, DRIVER_CANDIDATES);
  }

  #onEvidence(report: Evidence): void {
    for (const duty of this.#duties.values()) duty.driver.onEvidence(report);
  }

  /** Sends evidence to the candidates of each service with an open move. */
  #report(): void {
    const report = this.#o.router.takeEvidence();
    if (report === null) return;
    const moves = this.#o.control.state.current().moves;
    const services = new Set(report.cells.map((c) => moves.get(c.move)?.service));
    const targets = new Map<string, SpreadMember>();
    for (const service of services) {
      if (service === undefined) continue;
      for (const member of this.candidates(service)) targets.set(member.key, member);
    }
    for (const member of targets.values()) this.#send(member, report);
  }

  #send(member: SpreadMember, report: Evidence): void {
    if (member.key === this.#o.memberKey) return this.#onEvidence(report);
    // Lost evidence only makes the test slower; the next report follows in seconds.
    this.#o.links.get(member.address).then((link) => link.notify(report)).catch(() => {});
  }

  #drive(): void {
    const view = this.#o.control.state.current();
    const open = new Map(unsettledMoves(view).map((m) => [m.service, m]));
    for (const service of this.#duties.keys()) {
      if (!open.has(service)) this.#dropDuty(service);
    }
    for (const [service, move] of open) {
      const mine = this.candidates(service).some((m) => m.key === this.#o.memberKey);
      if (mine) void this.#step(service, move, view);
      else this.#dropDuty(service);
    }
  }

  #dropDuty(service: ServiceId): void {
    const duty = this.#duties.get(service);
    if (duty === undefined || duty.stepping) return;
    this.#duties.delete(service);
    void duty.lease.release().catch(() => {});
  }

  async #step(service: ServiceId, move: Move, view: ConfigView): Promise<void> {
    const duty = this.#dutyOf(service);
    if (duty.stepping) return;
    duty.stepping = true;
    try {
      await this.#keepLease(duty);
      await duty.driver.tick();
      this.#order(duty, move, view);
    } catch (err) {
      this.#o.log.debug({ err, service }, "move step failed");
    } finally {
      duty.stepping = false;
    }
  }

  async #keepLease(duty: Duty): Promise<void> {
    const { clock } = this.#o;
    if (clock.now() < duty.nextLeaseMs) return;
    duty.nextLeaseMs = clock.now() + LEASE_TTL_MS / 3;
    await duty.lease.step();
  }

  /** Tells endpoints which version they should run, as the configuration wants it. */
  #order(duty: Duty, move: Move, view: ConfigView): void {
    const fence = duty.lease.fence();
    if (fence === null) return;
    for (const [endpoint, cfg] of view.endpoints) {
      const version = view.services.get(cfg.service)?.versions.find((v) => v.id === cfg.version);
      if (cfg.service !== move.service || version === undefined) continue;
      const { id, model, adapters } = version;
      duty.pacer.setDesired({ endpoint, version: id, model, adapters, role: "serve" });
    }
    for (const order of duty.pacer.due(fence, this.#o.clock.now())) {
      void this.#sendOrder(duty, order);
    }
  }

  async #sendOrder(duty: Duty, order: Order): Promise<void> {
    const target = this.#o.directory.get(order.endpoint);
    if (target === undefined) return;
    try {
      const link = await this.#o.links.get(target.side);
      const done = await link.request(order, { timeoutMs: ORDER_TIMEOUT_MS });
      if (done.kind === "order_done") duty.pacer.recordDone(done);
    } catch {
      // The pacer repeats an order that was not answered.
    }
  }

  #dutyOf(service: ServiceId): Duty {
    const known = this.#duties.get(service);
    if (known !== undefined) return known;
    const { store, clock, process, control } = this.#o;
    const lease = new Lease(store, clock, { duty: driverDuty(service), process });
    const options = { service, lease, log: control.log, clock, who: process };
    const driver = new MoveDriver(options, control.state);
    const duty = { lease, driver, pacer: new OrderPacer(), nextLeaseMs: 0, stepping: false };
    this.#duties.set(service, duty);
    return duty;
  }
}

function unsettledMoves(view: ConfigView): Move[] {
  return [...view.moves.values()].filter((m) => !m.settled);
}
