/**
 * The entry process: an entry with its links, configuration, host list, version moves and operator interface.
 *
 * @module
 */
import { raise, type Undo, World } from "@wisteriapick/core";
import {
  memberKey,
  MoveDuty,
  type MoveDutyDependencies,
  MoveRouter,
  PlanManager,
  type PropagationMember,
  registerOperatorRoutes,
} from "@wisteriapick/control";
import { SubsetPlacement } from "@wisteriapick/policy";
import type { Order, OrderDone } from "@wisteriapick/wire";
import { AccountLimiter } from "./account_limiter.ts";
import { ClaimSweep } from "./claim_sweep.ts";
import { EndpointDirectory } from "./endpoint_directory.ts";
import { Entry } from "./entry.ts";
import type { EntryHost, EntryOptions } from "./entry_options.ts";
import { MoveVersionChooser } from "./entry_versions.ts";
import { FleetView } from "./fleet_view.ts";
import type { HttpListenOptions } from "./http_server.ts";
import {
  makeProcessComponents,
  type ProcessComponents,
  type ProcessOptions,
} from "./process_components.ts";

/** Options of an {@link EntryProcess}. */
export interface EntryProcessOptions extends ProcessOptions {
  /** Where callers' HTTP connections are accepted. */
  readonly listen: HttpListenOptions;
  /** What the host has; no known limits by default. */
  readonly entryHost?: EntryHost;
  /** Overrides options of the entry. */
  readonly entry?: Partial<EntryOptions>;
}

const LINK_CHECK_INTERVAL_MS = 1_000;
const ORDER_TIMEOUT_MS = 10_000;
/** New idempotency keys of all entries together; at two writes each, a fraction of what the object API allows. */
const STORE_CLAIMS_PER_SECOND = 60;

/**
 * Runs an entry with everything it depends on.
 *
 * @example
 * ```ts
 * const process = await EntryProcess.start(options);
 * console.log(process.httpAddress);
 * await process.drain();
 * ```
 */
export class EntryProcess {
  readonly entry: Entry;
  readonly world: World;
  readonly linkAddress: string;
  readonly #o: EntryProcessOptions;
  readonly #components: ProcessComponents;
  readonly #directory: EndpointDirectory;
  readonly #router: MoveRouter;
  readonly #duty: MoveDuty;
  readonly #placement: SubsetPlacement;
  readonly #accounts: AccountLimiter;
  readonly #undos: Undo[] = [];
  #httpAddress = "";

  private constructor(options: EntryProcessOptions, components: ProcessComponents) {
    const { identity, clock, store, clusterKey, entryHost, listen } = options;
    const { control, router, links, rng, log, metrics } = components;
    this.#o = options;
    this.#components = components;
    this.linkAddress = components.linkAddress;
    this.world = new World({ clock });
    this.#directory = new EndpointDirectory(this.world);
    this.#router = new MoveRouter(control.state, clock, identity.process);
    this.#duty = this.#makeDuty();
    this.#placement = new SubsetPlacement({
      entry: identity.host,
      dataCentre: identity.dataCentre,
      rng: rng.fork("placement"),
    });
    this.#accounts = new AccountLimiter({
      self: memberKey(identity.host, "entry"),
      clock,
      config: control.state,
      links,
    });
    this.entry = new Entry({
      accounts: this.#accounts,
      identity,
      clusterKey,
      listen,
      entryHost,
      otherDescriptors: () => components.linkCount(),
      config: control.state,
      directory: this.#directory,
      links,
      router,
      placement: this.#placement,
      world: this.world,
      log,
      metrics,
      store,
      rng: rng.fork("entry"),
      versions: new MoveVersionChooser(this.#router),
      onOutcome: (outcome) => this.#router.record(outcome),
      idempotency: { claimsPerSecond: () => STORE_CLAIMS_PER_SECOND / this.#countEntries() },
      ...options.entry,
    });
  }

  /** Binds both addresses and starts. */
  static async start(options: EntryProcessOptions): Promise<EntryProcess> {
    const process = EntryProcess.withComponents(options, await makeProcessComponents(options));
    process.#httpAddress = await process.entry.listen();
    return process;
  }

  /** Starts on given links without listening; HTTP connections are passed to `entry.accept`. */
  static withComponents(options: EntryProcessOptions, components: ProcessComponents): EntryProcess {
    const process = new EntryProcess(options, components);
    process.#start();
    process.entry.start();
    return process;
  }

  /** Bound HTTP address as `ip:port`; empty where the process does not listen. */
  get httpAddress(): string {
    return this.#httpAddress;
  }

  /** Planned stop: the health check fails first, and every running request finishes. */
  async drain(options: { announceMs?: number } = {}): Promise<void> {
    await this.entry.drain(options);
    await this.close();
  }

  /** Stops at once. */
  async close(): Promise<void> {
    for (const undo of this.#undos.splice(0)) undo();
    this.entry.close();
    await this.#components.close();
  }

  #start(): void {
    const { clock } = this.#o;
    const { control, router, pool } = this.#components;
    const fleet = new FleetView({ control, pool, clock, acceptor: router });
    this.#undos.push(
      this.#components.start(),
      () => this.#router.close(),
      fleet.start(),
      router.registerNotify("evidence", (_link, msg) => this.#duty.onEvidence(msg)),
      control.membership.registerListener((members) => this.#setEntries(members)),
      this.#followHosts(),
      this.#duty.start(),
      this.#startClaimSweep(),
      clock.setRepeating(LINK_CHECK_INTERVAL_MS, () => this.#openLinks()),
      this.#registerOperatorRoutes(fleet),
    );
  }

  /** Opens a link to each side of this entry's subsets, so that load and drain notices arrive before requests do. */
  #openLinks(): void {
    for (const service of this.#components.control.state.current().services.keys()) {
      for (const endpoint of this.#placement.subset(service)) {
        const target = this.#directory.get(endpoint);
        // A side that cannot be reached is tried again at the next interval.
        if (target !== undefined) this.#components.links.get(target.side).catch(() => {});
      }
    }
  }

  #countEntries(): number {
    return Math.max(1, this.#components.control.membership.members().filter(isEntry).length);
  }

  #startClaimSweep(): Undo {
    const { store, clock, identity } = this.#o;
    const rng = this.#components.rng.fork("sweep");
    return new ClaimSweep({ store, clock, process: identity.process, rng }).start();
  }

  #setEntries(members: readonly PropagationMember[]): void {
    const entries = members.filter(isEntry);
    this.#duty.setEntries(entries);
    this.#accounts.setMembers(entries);
  }

  #followHosts(): Undo {
    return this.#components.control.membership.registerSnapshotListener((snapshot) => {
      this.#directory.apply(snapshot);
    });
  }

  #makeDuty(): MoveDuty {
    const { identity, store, clock } = this.#o;
    const { control, rng, linkAddress: address } = this.#components;
    const key = memberKey(identity.host, "entry");
    return new MoveDuty({
      self: { key, dataCentre: identity.dataCentre, address },
      process: identity.process,
      store,
      log: control.log,
      router: this.#router,
      clock,
      rng: rng.fork("moves"),
      dependencies: this.#makeMoveDutyDependencies(),
    });
  }

  #makeMoveDutyDependencies(): MoveDutyDependencies {
    const { links } = this.#components;
    return {
      sendEvidence: (to, evidence) => {
        links.get(to.address).then((link) => link.notify(evidence)).catch(() => {});
      },
      sendOrder: (order) => this.#sendOrder(order),
    };
  }

  async #sendOrder(order: Order): Promise<OrderDone> {
    const target = this.#directory.get(order.endpoint);
    if (target === undefined) {
      raise({ type: "not_found", message: `no side is listed for ${order.endpoint}` });
    }
    const link = await this.#components.links.get(target.side);
    const res = await link.request(order, { timeoutMs: ORDER_TIMEOUT_MS });
    if (res.kind === "order_done") return res;
    raise({ type: "unreachable", message: `the side of ${order.endpoint} refused the order` });
  }

  #registerOperatorRoutes(fleet: FleetView): Undo {
    const { store, clock } = this.#o;
    const { control, rng } = this.#components;
    const plans = new PlanManager({
      store,
      log: control.log,
      clock,
      rng: rng.fork("plans"),
      endpoints: () => fleet.endpoints(),
    });
    const sources = {
      plans,
      store,
      state: control.state,
      clock,
      fleet,
      storeUp: () => control.node.storeUp,
      readBody: this.entry.readBody,
    };
    return registerOperatorRoutes(
      (method, path, handler) => this.entry.registerAdminRoute(method, path, handler),
      sources,
    );
  }
}

function isEntry(member: PropagationMember): boolean {
  return member.key.endsWith("/entry");
}
