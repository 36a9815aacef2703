/**
 * A gateway's view of its fleet: the routes in force and the endpoints that may be used.
 *
 * @module
 */
import {
  type Clock,
  type DataCentreId,
  type EndpointId,
  type RegionId,
  type ServiceId,
  type Table,
  type TableView,
  type Undo,
  World,
} from "@wisteriapick/core";
import { formatAddress } from "@wisteriapick/wire";
import { isEarlierVersion, newestConfig } from "../config/config_version.ts";
import { RouteTable } from "../config/route_table.ts";
import type { EndpointRecord, EvacuationRecord, GatewayConfig } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";
import { isOutdated, isSameProcess, isSameWrite } from "./registration_order.ts";
import { type RetainedEnd, RetainedObjects } from "./retained_objects.ts";
import type { StoreOutage } from "./store_outage.ts";
import type { StorePosition } from "./store_position.ts";
import { FOLLOWED_KINDS, type StoreView, type ViewSource } from "./store_view.ts";

/**
 * Whether an endpoint may be used. A `lapsed` endpoint is used like a `ready` one although its registration expired
 * during an outage of the store. A `leaving` endpoint gets no new work and finishes what it has.
 */
export type EndpointPhase = "ready" | "lapsed" | "leaving";

/** An endpoint as this gateway sees it. */
export interface EndpointRow {
  readonly record: EndpointRecord;
  readonly phase: EndpointPhase;
  /** When the phase began, by the monotonic clock. */
  readonly phaseSinceMs: number;
  /** When the endpoint's cold start ends, by the monotonic clock. */
  readonly coldUntilMs: number;
  /** Store revision of the registration's last change, and the store's era in which it was read. */
  readonly revision: number;
  readonly era: number;
  readonly isRegistered: boolean;
  /** When the registration was found to be gone, by the monotonic clock; absent while there is one. */
  readonly unregisteredSinceMs?: number;
  /**
   * Whether the endpoint itself has announced that it leaves. Its registration may not contain that yet, or may be an
   * earlier one from a copy of the store.
   */
  readonly hasOwnNotice: boolean;
}

/** How this gateway learned that an endpoint leaves. */
export interface LeavingCause {
  readonly reason: string;
  /** Whether the endpoint itself has announced it. Later registrations of the same process do not undo that. */
  readonly isOwnNotice: boolean;
}

/** A request was answered by another endpoint than the one that is registered at the address. */
export const ANOTHER_AT_ADDRESS: LeavingCause = {
  reason: "another endpoint responds at its address",
  isOwnNotice: false,
};

/** A change of one endpoint. */
export interface EndpointChange {
  readonly id: EndpointId;
  readonly before: EndpointRow | null;
  readonly after: EndpointRow | null;
  /** Whether the id now belongs to another process or address. */
  readonly restarted: boolean;
}

/** Options of {@link Fleet}. */
export interface FleetOptions {
  readonly view: StoreView;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly regionOf: (dataCentre: DataCentreId) => RegionId | null;
  readonly outage: () => StoreOutage;
  /** Time for which an endpoint that leaves goes on serving, in milliseconds. */
  readonly drainMs?: number;
}

/** A registration that was written before the one in force. */
interface OutdatedRegistration extends StorePosition {
  readonly record: EndpointRecord;
  readonly sinceMs: number;
}

const DEFAULT_DRAIN_MS = 2_000;
/**
 * Time after which an outdated registration is taken as it is. An endpoint that lives replaces it with its next write,
 * about a second later; the start time of one whose time of day was set back is earlier than that of its predecessor.
 */
const OUTDATED_MS = 4_000;
/** The same after a restore: the registration of an endpoint that is gone expires after some 4 s without a write. */
const RESTORED_OUTDATED_MS = 5_000;
/** Registrations that expired during an outage, or that a restore lost, are back about two seconds after it. */
const LAPSE_GRACE_MS = 2_300;
/** Routes that are indexed at once; more would delay the events of streams on a host with a small share of a core. */
const ROUTES_PER_TURN = 256;
/** Time for which an endpoint that is no longer registered is retained, for responses still in progress. */
const FORGET_AFTER_MS = 45_000;

/** The endpoints and routes in force, kept up to date from the store view. */
export class Fleet {
  readonly #options: FleetOptions;
  readonly #world: World;
  readonly #endpoints: Table<EndpointId, EndpointRow>;
  readonly #byService = new Map<ServiceId, EndpointRow[]>();
  #routes: RouteTable | null = null;
  /** The configuration in force, or the one whose table is being built. */
  #nextConfig: GatewayConfig | null = null;
  #evacuated: ReadonlySet<DataCentreId> = new Set();
  /** Orders to evacuate, those that a restored store has lost included. */
  readonly #evacuations: RetainedObjects<EvacuationRecord>;
  /** Ends of the pauses that endpoints have requested. */
  readonly #pausedUntilMs = new Map<EndpointId, number>();
  readonly #outdated = new Map<EndpointId, OutdatedRegistration>();
  #listeners: readonly ((change: EndpointChange) => void)[] = [];
  #configListeners: readonly (() => void)[] = [];
  /** When the registrations of a restored store were first read, by the monotonic clock. */
  #restoredAtMs = -Infinity;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#world = new World({ clock: options.clock });
    this.#endpoints = this.#world.registerTable<EndpointId, EndpointRow>("endpoints").table;
    const { config, endpoints, evacuations } = options.view.kinds;
    config.registerListener(() => this.#applyConfig());
    endpoints.registerListener(({ source, isRestored }) => {
      if (isRestored) this.#restoredAtMs = options.clock.now();
      this.#applyEndpoints(source, isRestored);
    });
    this.#evacuations = new RetainedObjects({ view: evacuations });
    evacuations.registerListener(({ isRestored }) => {
      this.#logRetainedEnds(this.#evacuations.update(isRestored, options.clock.now()));
      this.#applyEvacuations();
    });
  }

  /** Whether every kind of object that affects routing has been read at least once. */
  get isKnown(): boolean {
    const isFirstTablePending = this.#nextConfig !== null && this.#routes === null;
    return !isFirstTablePending &&
      FOLLOWED_KINDS.every((kind) => this.#options.view.kinds[kind].known);
  }

  /** Whether the newest configuration that is known is in force. */
  get isConfigCurrent(): boolean {
    return this.#routes !== null && this.#routes.config === this.#nextConfig;
  }

  /** Routes in force; `null` until a configuration has been read. */
  get routes(): RouteTable | null {
    return this.#routes;
  }

  get endpoints(): TableView<EndpointId, EndpointRow> {
    return this.#endpoints;
  }

  /** Data centres whose endpoints get no new work. */
  get evacuated(): ReadonlySet<DataCentreId> {
    return this.#evacuated;
  }

  /** Endpoints of a service in any phase. */
  ofService(service: ServiceId): readonly EndpointRow[] {
    return this.#byService.get(service) ?? [];
  }

  /** Endpoints of a service in the given regions that may get new work; an empty list allows all regions. */
  usable(service: ServiceId, regions: readonly RegionId[]): EndpointRow[] {
    return this.#placeable(service, regions).filter((row) => !this.isPaused(row.record.id));
  }

  /** Time until an endpoint of a service accepts requests, in milliseconds; `null` if one does now, or none is left. */
  pausedForMs(service: ServiceId, regions: readonly RegionId[]): number | null {
    const rows = this.#placeable(service, regions);
    if (rows.length === 0 || rows.some((row) => !this.isPaused(row.record.id))) return null;
    const ends = rows.map((row) => this.#pausedUntilMs.get(row.record.id)!);
    return Math.min(...ends) - this.#now();
  }

  /** Endpoints of a service in the given regions that do not leave, including paused ones. */
  #placeable(service: ServiceId, regions: readonly RegionId[]): EndpointRow[] {
    return this.ofService(service).filter((row) =>
      row.phase !== "leaving" && !this.#evacuated.has(row.record.dataCentre) &&
      this.#isInRegions(row.record.dataCentre, regions)
    );
  }

  /** Whether an endpoint has requested a pause that has not ended. */
  isPaused(id: EndpointId): boolean {
    return (this.#pausedUntilMs.get(id) ?? -Infinity) > this.#now();
  }

  /** Sends nothing to an endpoint for the pause that it has requested, in milliseconds. */
  pause(id: EndpointId, forMs: number): void {
    const untilMs = this.#now() + forMs;
    if (!this.#endpoints.has(id) || untilMs <= (this.#pausedUntilMs.get(id) ?? -Infinity)) return;
    this.#pausedUntilMs.set(id, untilMs);
    this.#options.log.state("endpoint_paused", { endpoint: id, forMs: Math.round(forMs) });
  }

  /** Whether an endpoint may get new work now. */
  isUsable(id: EndpointId): boolean {
    const row = this.#endpoints.get(id);
    return row !== undefined && row.phase !== "leaving" && !this.isPaused(id) &&
      !this.#evacuated.has(row.record.dataCentre);
  }

  /**
   * Whether the end of an endpoint is planned, so that it is no evidence against the requests in progress there. An
   * endpoint that leaves without notice continues to serve for the drain time after its registration was removed.
   */
  isEndPlanned(id: EndpointId): boolean {
    const row = this.#endpoints.get(id);
    if (row === undefined) return true;
    if (row.phase !== "leaving") return false;
    const { drainMs = DEFAULT_DRAIN_MS } = this.#options;
    const hasNotice = row.record.isDraining || row.hasOwnNotice || row.isRegistered;
    return hasNotice || this.#now() - row.phaseSinceMs >= drainMs;
  }

  /**
   * Whether the process of a registration has certainly ended: a later process has its id, or its registration was
   * removed longer ago than an endpoint goes on serving without one.
   */
  hasEnded({ id, startedAtUnixMs }: EndpointRecord): boolean {
    const row = this.#endpoints.get(id);
    if (row === undefined) return true;
    const now = row.record.startedAtUnixMs;
    if (now !== null && startedAtUnixMs !== null && now > startedAtUnixMs) return true;
    if (row.phase !== "leaving" || row.unregisteredSinceMs === undefined) return false;
    const { drainMs = DEFAULT_DRAIN_MS } = this.#options;
    return this.#now() - Math.max(row.phaseSinceMs, row.unregisteredSinceMs) >= drainMs;
  }

  /** Marks an endpoint as leaving before the store has the change. Returns whether that was not known. */
  markLeaving(id: EndpointId, { reason, isOwnNotice }: LeavingCause): boolean {
    const row = this.#endpoints.get(id);
    if (row === undefined) return false;
    const hasOwnNotice = row.hasOwnNotice || isOwnNotice;
    if (row.phase === "leaving") {
      if (hasOwnNotice !== row.hasOwnNotice) this.#set(id, { ...row, hasOwnNotice }, { reason });
      return false;
    }
    const leaving = { phase: "leaving", phaseSinceMs: this.#now(), hasOwnNotice } as const;
    this.#set(id, { ...row, ...leaving }, { reason });
    return true;
  }

  /** Calls `fn` after each change of an endpoint. */
  registerEndpointListener(fn: (change: EndpointChange) => void): Undo {
    this.#listeners = [...this.#listeners, fn];
    return () => {
      this.#listeners = this.#listeners.filter((l) => l !== fn);
    };
  }

  /** Calls `fn` after each change of the configuration. */
  registerConfigListener(fn: () => void): Undo {
    this.#configListeners = [...this.#configListeners, fn];
    return () => {
      this.#configListeners = this.#configListeners.filter((l) => l !== fn);
    };
  }

  /** Ends the grace period of lapsed registrations and drops endpoints that are gone. Called each tick. */
  tick(): void {
    const now = this.#now();
    const { isDown, endedAtMs } = this.#outage();
    for (const [id, row] of [...this.#endpoints.entries()]) {
      if (row.phase === "lapsed" && !isDown && now >= endedAtMs + LAPSE_GRACE_MS) {
        const leaving: EndpointRow = { ...row, phase: "leaving", phaseSinceMs: now };
        this.#set(id, leaving, { reason: "registration did not come back" });
      }
      if (
        !row.isRegistered && row.phase === "leaving" && now >= row.phaseSinceMs + FORGET_AFTER_MS
      ) {
        this.#set(id, null, { reason: "gone" });
      }
    }
    this.#acceptOutdated(now);
    const ended = this.#evacuations.expire(now, { isDown, endedAtMs });
    if (ended.size === 0) return;
    this.#logRetainedEnds(ended);
    this.#applyEvacuations();
  }

  /** The outage of the store that registrations may not have outlived; a restore ends one. */
  #outage(): StoreOutage {
    const { isDown, endedAtMs } = this.#options.outage();
    return { isDown, endedAtMs: Math.max(endedAtMs, this.#restoredAtMs) };
  }

  #now(): number {
    return this.#options.clock.now();
  }

  #isInRegions(dataCentre: DataCentreId, regions: readonly RegionId[]): boolean {
    if (regions.length === 0) return true;
    const region = this.#options.regionOf(dataCentre);
    return region !== null && regions.includes(region);
  }

  #applyConfig(): void {
    const { items, era, revision } = this.#options.view.kinds.config.snapshot;
    const config = newestConfig([...items.values()].map((item) => item.value));
    if (config === null || config === this.#nextConfig) return;
    // A version older than the one in force is never applied, whatever its source.
    if (this.#nextConfig !== null && isEarlierVersion(config, this.#nextConfig)) return;
    this.#nextConfig = config;
    // Decoding a large configuration has taken long enough for one turn.
    const indexedNow = config.routes.length <= ROUTES_PER_TURN ? config.routes : [];
    this.#buildTable(new RouteTable(config, indexedNow), indexedNow.length, { era, revision });
  }

  /** Adds the routes from `indexed` on, some in each turn of the event loop, and puts the table in force. */
  #buildTable(table: RouteTable, indexed: number, position: StorePosition): void {
    const { config } = table;
    // A newer configuration has arrived meanwhile.
    if (config !== this.#nextConfig) return;
    if (indexed < config.routes.length) {
      const end = indexed + ROUTES_PER_TURN;
      return void this.#options.clock.setTimer(0, () => {
        table.addRoutes(config.routes.slice(indexed, end));
        this.#buildTable(table, end, position);
      });
    }
    this.#routes = table;
    const { version, routes, accounts } = config;
    this.#options.log.state("config_in_force", {
      version,
      ...position,
      routes: routes.length,
      accounts: accounts.length,
    });
    for (const listener of this.#configListeners) listener();
  }

  #applyEvacuations(): void {
    const { position } = this.#options.view.kinds.evacuations;
    const orders = [...this.#evacuations.inForce.values()];
    this.#evacuated = new Set(orders.map((item) => item.value.dataCentre));
    this.#options.log.state("evacuations", {
      dataCentres: [...this.#evacuated],
      ...position,
      retained: this.#evacuations.names,
    });
  }

  #logRetainedEnds(ended: ReadonlyMap<string, RetainedEnd>): void {
    for (const [name, reason] of ended) {
      this.#options.log.state("retained_order_ended", { kind: "evacuations", name, reason });
    }
  }

  #applyEndpoints(source: ViewSource, isRestored: boolean): void {
    const { items, era, revision } = this.#options.view.kinds.endpoints.snapshot;
    const now = this.#now();
    for (const { value: record, revision: changedAt } of items.values()) {
      const before = this.#endpoints.get(record.id);
      const isSame = before?.revision === changedAt && before.era === era;
      if (isSame && before.isRegistered) continue;
      if (before !== undefined && isEarlierWrite(record, before, { isRestored })) {
        this.#ignoreOutdated({ record, era, revision: changedAt, sinceMs: now }, before);
        continue;
      }
      this.#outdated.delete(record.id);
      this.#register(record, { era, revision: changedAt }, { source, era, revision });
    }
    for (const id of [...this.#outdated.keys()]) if (!items.has(id)) this.#outdated.delete(id);
    for (const [id, row] of [...this.#endpoints.entries()]) {
      if (items.has(id) || !row.isRegistered) continue;
      this.#set(id, this.#unregistered(row, now), { source, era, revision });
    }
  }

  #register(
    record: EndpointRecord,
    position: StorePosition,
    cause: Record<string, unknown>,
  ): void {
    const before = this.#endpoints.get(record.id);
    const isSameStart = before?.record.startedAtUnixMs === record.startedAtUnixMs;
    const hasDrained = before?.record.isDraining === true && record.startedAtUnixMs !== null;
    const hasOwnNotice = before !== undefined && isSameStart &&
      (before.hasOwnNotice || hasDrained);
    // The remaining cold time of a registration that a restored store shows again is as of its first reading.
    const isReadAgain = before !== undefined && before.era !== position.era &&
      isSameWrite(record, before.record);
    // What peers or responses said since the registration was written holds until it is written anew.
    const isMarked = isReadAgain && before.isRegistered && before.phase === "leaving";
    const phase = record.isDraining || hasOwnNotice || isMarked ? "leaving" : "ready";
    const now = this.#now();
    this.#set(record.id, {
      record,
      phase,
      phaseSinceMs: before?.phase === phase ? before.phaseSinceMs : now,
      coldUntilMs: isReadAgain ? before.coldUntilMs : now + record.coldMs,
      ...position,
      isRegistered: true,
      hasOwnNotice,
    }, cause);
  }

  /** Leaves an endpoint as it is, although the store holds a registration that the endpoint wrote earlier. */
  #ignoreOutdated(outdated: OutdatedRegistration, { record: known, phase }: EndpointRow): void {
    const { record, era, revision } = outdated;
    const ignored = this.#outdated.get(record.id);
    if (ignored?.revision === revision && ignored.era === era) return;
    this.#outdated.set(record.id, outdated);
    this.#options.log.state("registration_outdated", {
      endpoint: record.id,
      era,
      revision,
      phase,
      sequence: record.sequence,
      knownSequence: known.sequence,
      startedAtUnixMs: record.startedAtUnixMs,
      knownStartedAtUnixMs: known.startedAtUnixMs,
    });
  }

  /** Accepts outdated registrations that their endpoints have not replaced while the store could be reached. */
  #acceptOutdated(now: number): void {
    const { isDown, endedAtMs } = this.#outage();
    if (isDown) return;
    for (const [id, { record, era, revision, sinceMs }] of [...this.#outdated]) {
      const untilMs = Math.max(sinceMs, endedAtMs) + OUTDATED_MS;
      if (now < Math.max(untilMs, this.#restoredAtMs + RESTORED_OUTDATED_MS)) continue;
      this.#outdated.delete(id);
      const reason = "an outdated registration was not replaced";
      this.#register(record, { era, revision }, { reason });
    }
  }

  /** The row of an endpoint whose registration is gone. During or after an outage it may only have expired. */
  #unregistered(row: EndpointRow, now: number): EndpointRow {
    const { isDown, endedAtMs } = this.#outage();
    const mayHaveLapsed = isDown || now < endedAtMs + LAPSE_GRACE_MS;
    const gone = { ...row, isRegistered: false, unregisteredSinceMs: now };
    if (row.phase === "leaving") return gone;
    const phase = mayHaveLapsed ? "lapsed" : "leaving";
    return { ...gone, phase, phaseSinceMs: now };
  }

  #set(id: EndpointId, after: EndpointRow | null, cause: Record<string, unknown>): void {
    const before = this.#endpoints.get(id) ?? null;
    const restarted = before !== null && after !== null &&
      (before.record.startedAtUnixMs !== after.record.startedAtUnixMs ||
        !sameAddress(before.record, after.record));
    if (restarted || after === null) this.#pausedUntilMs.delete(id);
    this.#world.update(() => {
      if (after === null) this.#endpoints.delete(id);
      else this.#endpoints.set(id, after);
    });
    if (before !== null) this.#index(before.record.service);
    if (after !== null) this.#index(after.record.service);
    if (before?.phase !== after?.phase || restarted) {
      const record = (after ?? before)?.record;
      this.#options.log.state("endpoint", {
        endpoint: id,
        service: record?.service,
        address: record === undefined ? null : formatAddress(record.address),
        dataCentre: record?.dataCentre,
        from: before?.phase ?? null,
        to: after?.phase ?? null,
        restarted,
        ...cause,
      });
    }
    const change: EndpointChange = { id, before, after, restarted };
    for (const listener of this.#listeners) listener(change);
  }

  #index(service: ServiceId): void {
    const rows = [...this.#endpoints.rows()].filter((row) => row.record.service === service);
    if (rows.length > 0) this.#byService.set(service, rows);
    else this.#byService.delete(service);
  }
}

/**
 * Whether a registration was written before what is known of its endpoint, or before its registration was removed. The
 * first list of a restored store has registrations from before they were removed, with sequences that no event has named.
 */
function isEarlierWrite(
  registration: EndpointRecord,
  known: EndpointRow,
  { isRestored }: { readonly isRestored: boolean },
): boolean {
  if (isOutdated(registration, known.record)) return true;
  const wasRemoved = !known.isRegistered && known.phase === "leaving";
  return isRestored && wasRemoved && isSameProcess(registration, known.record);
}

function sameAddress(a: EndpointRecord, b: EndpointRecord): boolean {
  return a.address.host === b.address.host && a.address.port === b.address.port;
}
