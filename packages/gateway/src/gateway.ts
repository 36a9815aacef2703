/**
 * One gateway process: it follows the store, serves callers and shuts down gracefully.
 *
 * @module
 */
import {
  type Clock,
  type DataCentreId,
  type RegionId,
  type Rng,
  SuspendAwareClock,
  type Undo,
} from "@wisteriapick/core";
import {
  canShedToOthers,
  ColdLimiter,
  keptConnectionLimit,
  MemoryBudget,
  RetryBudgets,
} from "@wisteriapick/policy";
import { pendingHandshakeLimit } from "@wisteriapick/wire";
import type { CloudCalls } from "./duties/cloud.ts";
import { Duties } from "./duties/duties.ts";
import { makeScaleSource } from "./duties/scale_source.ts";
import { GracefulStop } from "./graceful_stop.ts";
import type { DecisionLog } from "./observe/decision_log.ts";
import { ContainedClock, ErrorBoundary } from "./observe/error_boundary.ts";
import { GarbageCollector } from "./observe/garbage_collector.ts";
import { HostLoad } from "./observe/host_load.ts";
import { LoopMonitor } from "./observe/loop_monitor.ts";
import { type MemoryHoldings, MemoryMonitor } from "./observe/memory_monitor.ts";
import type { GatewayMetrics } from "./observe/metrics.ts";
import { RequestShare } from "./peers/request_share.ts";
import { Registration } from "./peers/registration.ts";
import { shareOccupancy } from "./peers/occupancy_share.ts";
import { PeerNetwork } from "./peers/peer_network.ts";
import { StoreViewSync } from "./peers/store_view_sync.ts";
import { CrashTracker } from "./relay/crash_tracker.ts";
import { EndpointLimits } from "./relay/endpoint_limits.ts";
import { EndpointSpeedTable } from "./relay/endpoint_speed_table.ts";
import { EngineMonitor } from "./relay/engine_monitor.ts";
import { SuspectEngines } from "./relay/suspect_engines.ts";
import { EngineDispatcher } from "./relay/engine_dispatcher.ts";
import { AccessControl } from "./relay/access_control.ts";
import type { RelayContext } from "./relay/context.ts";
import { VersionMoves } from "./moves/version_moves.ts";
import { Relay } from "./relay/relay.ts";
import { Repeats } from "./relay/repeats.ts";
import { RunMigrator } from "./relay/run_migrator.ts";
import { type GatewaySettings, speedSettings } from "./settings.ts";
import {
  coldOptions,
  peersAddress,
  pressureOptions,
  retryOptions,
  revocationOptions,
  roomOptions,
} from "./settings_options.ts";
import { Fleet } from "./state/fleet.ts";
import { KeyLease } from "./state/key_lease.ts";
import type { StateStore } from "./state/state_store.ts";
import { StoreFollower } from "./state/store_follower.ts";
import { FOLLOWED_KINDS, StoreView } from "./state/store_view.ts";
import type { CallerDialect } from "./surface/caller_dialect.ts";
import { bindAddress } from "./surface/bind_address.ts";
import { OperatorServers } from "./surface/operator_servers.ts";
import { ProxyServer } from "./surface/proxy_server.ts";
import type { EndpointDialect } from "./upstream/dialect.ts";
import { Upstreams } from "./upstream/endpoint.ts";

/** Options of {@link Gateway}. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly regionOf: (dataCentre: DataCentreId) => RegionId | null;
  readonly store: StateStore;
  readonly metrics: GatewayMetrics;
  readonly callerDialect: CallerDialect;
  readonly endpointDialect: EndpointDialect;
  readonly clock: Clock;
  /** Clock by which stalls of the event loop are measured; `clock` by default. */
  readonly loopClock?: Clock;
  readonly rng: Rng;
  readonly log: DecisionLog;
  /** Calls to the platform for duties; none by default. */
  readonly cloud?: CloudCalls | null;
}

/**
 * Interval of periodic checks. Urgent work is driven by events instead: on a host with a small share of a core, each
 * wake-up costs more than the work that it does.
 */
const TICK_MS = 50;
/** Time after its first list at which a gateway watches the store, if no peer tells it what it reads by then. */
const FIRST_WATCH_DELAY_MS = 800;
/** Number of gateways that are registered in the store, of any number. */
const ENTRY_POINTS = 16;
/**
 * Wires the modules of a gateway together and controls their life cycle.
 *
 * @example
 * ```ts
 * const gateway = new Gateway(options);
 * await gateway.start();
 * await gateway.stop();
 * ```
 */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #errors: ErrorBoundary;
  readonly #fleet: Fleet;
  readonly #follower: StoreFollower;
  readonly #upstreams: Upstreams;
  readonly #dispatcher: EngineDispatcher;
  readonly #migrator: RunMigrator;
  readonly #moves: VersionMoves;
  readonly #viewSync: StoreViewSync;
  readonly #engineMonitor: EngineMonitor;
  readonly #suspects: SuspectEngines;
  readonly #relay: Relay;
  readonly #proxy: ProxyServer;
  readonly #loopMonitor: LoopMonitor;
  readonly #memoryMonitor: MemoryMonitor;
  readonly #budget: MemoryBudget;
  readonly #network: PeerNetwork;
  readonly #registration: Registration;
  readonly #operatorServers: OperatorServers;
  readonly #duties: Duties | null;
  readonly #undos: Undo[] = [];
  /** Shares of the requests; `null` where budgets are divided evenly. */
  readonly #shares: RequestShare | null;
  readonly #retryBudgets: RetryBudgets;
  readonly #coldLimiter: ColdLimiter;
  readonly #keys: KeyLease;
  readonly #host: HostLoad;
  readonly #stop: GracefulStop;
  #isKilled = false;
  #configKnownMs: number | null = null;
  #wasReady = false;
  #acceptsCallers = false;
  #stopTick: Undo = () => {};

  constructor(options: GatewayOptions) {
    const { settings, rng, log, store, metrics } = options;
    const errors = new ErrorBoundary({ log, clock: options.clock, metrics });
    const clock = new ContainedClock(options.clock, errors);
    const loopClock = options.loopClock === undefined
      ? clock
      : new ContainedClock(options.loopClock, errors);
    this.#options = { ...options, clock };
    this.#errors = errors;
    this.#budget = new MemoryBudget({ memoryMb: settings.memory_mb ?? null });
    this.#host = new HostLoad({
      clock,
      loopClock,
      log,
      pressure: pressureOptions(settings),
    });
    this.#memoryMonitor = new MemoryMonitor({
      clock,
      log,
      memoryMb: this.#budget.memoryMb,
      onResident: (bytes) => this.#host.recordMemory(bytes),
      holdings: () => this.#memoryHoldings(),
    });
    const collector = new GarbageCollector(this.#budget);
    const recordArrived = (bytes: number) => {
      this.#memoryMonitor.recordArrived(bytes);
      this.#host.recordTransfer(bytes);
      collector.recordArrived(bytes);
    };
    const view = new StoreView();
    const elapsed = new SuspendAwareClock(clock, { epoch: Math.floor(rng.next() * 2 ** 32) });
    this.#follower = new StoreFollower({
      store,
      view,
      clock,
      rng: rng.fork("store"),
      log,
      errors,
      countBytes: (kind, bytes) => metrics.countStoreBytes(kind, bytes),
      firstWatchDelayMs: FIRST_WATCH_DELAY_MS,
      elapsedMs: () => elapsed.now(),
      configWatchFactor: () => this.#keys.intervalFactor,
      isUrgent: (kind) => kind === "config" && this.#keys.needsRenewal,
      confirmsOnResume: (kind) => kind === "config" && this.#keys.isEnforced,
    });
    this.#fleet = new Fleet({
      view,
      clock,
      log,
      regionOf: options.regionOf,
      outage: () => this.#viewSync.outage,
      drainMs: settings.bounds.drain_ms,
    });
    this.#keys = new KeyLease({
      elapsed,
      fleet: this.#fleet,
      log,
      metrics,
      revocation: revocationOptions(settings.bounds),
    });
    this.#upstreams = new Upstreams(this.#fleet, { clock, log });
    this.#retryBudgets = new RetryBudgets({
      ...retryOptions(settings.bounds),
      startedAtMs: clock.now(),
    });
    this.#coldLimiter = new ColdLimiter(coldOptions(settings.bounds), rng.fork("cold"));
    this.#network = new PeerNetwork({
      name: settings.name,
      listenAddress: settings.listen.peers,
      address: peersAddress(settings),
      dataCentre: settings.data_centre,
      processorShare: settings.processor_share,
      linkMbps: settings.link_mbps ?? null,
      maxPendingHandshakes: pendingHandshakeLimit(settings.max_fds ?? null),
      clusterKey: settings.cluster_key,
      seeds: settings.seeds,
      clock,
      rng: rng.fork("peers"),
      log,
      metrics,
      errors,
    });
    this.#registration = new Registration({
      record: {
        name: settings.name,
        address: peersAddress(settings),
        dataCentre: settings.data_centre,
      },
      store,
      clock,
      rng: rng.fork("registration"),
      log,
      onFound: (gateways) => this.#network.addGateways(gateways),
      isEntryPoint: () => this.#network.isAmongFirst("registration", ENTRY_POINTS),
      isLinked: (name) => this.#network.isLinked(name),
    });
    view.kinds.config.registerListener(({ isRestored }) => {
      if (isRestored) this.#registration.onStoreRestored();
    });
    const shares = settings.bounds.share_by_requests ? this.#makeShares(clock) : null;
    this.#shares = shares;
    const limits = new EndpointLimits({
      clock,
      log,
      metrics,
      fleet: this.#fleet,
      gatewayCount: () => this.#network.memberCount(),
      divisor: () => shares?.divisor() ?? this.#network.memberCount(),
    });
    const crashes = new CrashTracker({ clock, rng: rng.fork("crashes"), log, metrics });
    this.#moves = new VersionMoves({
      view,
      store,
      network: this.#network,
      clock,
      log,
      limits: () => ({ share: settings.bounds.expose_share, extra: settings.bounds.expose_extra }),
      outage: () => this.#viewSync.outage,
    });
    const speeds = new EndpointSpeedTable({
      clock,
      log,
      metrics,
      fleet: this.#fleet,
      settings: speedSettings(settings),
    });
    this.#duties = settings.duties === undefined || !options.cloud ? null : new Duties({
      settings: settings.duties,
      cloud: options.cloud,
      scaleSource: makeScaleSource({
        fleet: this.#fleet,
        upstreams: this.#upstreams,
        runs: () => this.#dispatcher.runs,
      }),
      store,
      network: this.#network,
      gatewayCount: () => this.#network.sharingCount(),
      clock,
      elapsed,
      rng: rng.fork("duties"),
      log,
      metrics,
    });
    const ctx: RelayContext = {
      clock,
      rng: rng.fork("relay"),
      log,
      errors,
      metrics,
      dataCentre: settings.data_centre,
      fleet: this.#fleet,
      upstreams: this.#upstreams,
      dialect: options.endpointDialect,
      access: new AccessControl({ fleet: this.#fleet, keys: this.#keys }),
      keys: this.#keys,
      repeats: new Repeats({
        budgets: this.#retryBudgets,
        clock,
        log,
        metrics,
        gatewayCount: () => shares === null ? this.#network.sharingCount() : shares.divisor(),
        onRequest: () => shares?.recordRequest(),
      }),
      coldLimiter: this.#coldLimiter,
      crashes,
      limits,
      moves: this.#moves,
      speeds,
      budget: this.#budget,
      setPolledTimer: (ms, fn) => this.#loopMonitor.setPolledTimer(ms, fn, clock),
      longestDelayMs: (ms) => this.#loopMonitor.longestDelayMs(ms),
      recordArrived,
      announceLeaving: (endpoint) =>
        this.#network.broadcast({ kind: "endpoint_leaving", endpoint }),
      inquire: (endpoint) => this.#engineMonitor.inquire(endpoint),
      suspect: (endpoint) => this.#suspects.record(endpoint),
      gatewayCount: () => shares?.requestsForEachOwn() ?? this.#network.memberCount(),
      sharingCount: () =>
        shares?.divisor() ?? this.#network.sharingCount() ?? this.#network.memberCount(),
      recordBegan: (account, requestId) => this.#duties?.recordBegan(account, requestId),
    };
    this.#dispatcher = new EngineDispatcher(ctx, {
      onEnd: (run) => this.#migrator.forget(run),
      onLost: (run, loss) => this.#migrator.onLost(run, loss),
    }, roomOptions(settings));
    this.#migrator = new RunMigrator(ctx, this.#dispatcher, this.#network);
    this.#suspects = new SuspectEngines({ ctx, network: this.#network });
    this.#undos.push(() => this.#suspects.close());
    this.#engineMonitor = new EngineMonitor({
      ctx,
      dispatcher: this.#dispatcher,
      network: this.#network,
      hasCopy: (run) => this.#migrator.hasCopy(run),
      isStoreKnown: () => this.#viewSync.isInformed,
    });
    this.#viewSync = new StoreViewSync({
      view,
      follower: this.#follower,
      network: this.#network,
      clock,
      log,
      dataCentre: settings.data_centre,
      regionOf: options.regionOf,
      elapsed,
      keys: this.#keys,
    });
    this.#undos.push(
      shareOccupancy(this.#dispatcher.registry, this.#network, clock, {
        demand: this.#dispatcher.room.demand,
        lengths: this.#dispatcher.lengths,
      }),
      crashes.share(this.#network),
      limits.share(this.#network),
      speeds.share(this.#network),
      () => this.#keys.close(),
      () => shares?.close(),
    );
    this.#relay = new Relay({
      ctx,
      dispatcher: this.#dispatcher,
      stop: () => this.#stop.progress,
      hasServingPeer: () => this.#network.servingPeers().length > 0,
      shouldShedStreams: () =>
        this.#host.shouldShed() && canShedToOthers(this.#network.overloadCounts()),
    });
    this.#loopMonitor = new LoopMonitor(loopClock, log, (delayMs, nowMs) => {
      this.#stop.recordPoll(delayMs);
      this.#host.recordPoll(delayMs, nowMs);
      this.#stop.recordLoad();
      this.#announceLoad();
    });
    metrics.setViewPositions(() =>
      FOLLOWED_KINDS.map((kind) => ({ kind, ...view.kinds[kind].position }))
    );
    metrics.setBufferCounter(() => this.#bufferedBytes());
    this.#proxy = new ProxyServer({
      address: settings.listen.callers,
      dialect: options.callerDialect,
      handler: this.#relay,
      clock,
      log,
      errors,
      loop: this.#loopMonitor,
      budget: this.#budget,
      maxKept: keptConnectionLimit(settings.max_fds ?? null),
      onBytes: recordArrived,
      maxDescriptors: settings.max_fds,
      otherDescriptors: (requests) =>
        this.#upstreams.connectionCount(requests) + this.#network.connectionCount +
        this.#operatorServers.connectionCount,
      onCallerLimit: (event) => metrics.countCallerLimit(event),
    });
    this.#stop = new GracefulStop({
      clock,
      log,
      graceMs: settings.bounds.grace_ms,
      loop: this.#loopMonitor,
      host: this.#host,
      server: this.#proxy,
      relay: this.#relay,
      announce: () => {
        this.#network.announceStop();
        return this.#registration.remove();
      },
      close: () => this.kill(),
    });
    this.#fleet.registerConfigListener(() => {
      this.#configKnownMs ??= performance.now();
      this.#proxy.applyLimits(this.#relay.limits());
    });
    const { metrics: metricsAddress } = settings.listen;
    this.#operatorServers = new OperatorServers({
      readiness: { address: settings.listen.readiness, path: options.callerDialect.readyPath },
      metrics: metricsAddress === undefined
        ? null
        : { address: metricsAddress, path: settings.metrics_path },
      registry: metrics,
      clock,
      budget: this.#budget,
      log,
      errors,
      isReady: () => this.isReady,
      bind: (what, listen) => this.#bind(what, listen),
    });
  }

  /** Starts serving. Rejects if an address that callers or gateways need cannot be bound. */
  async start(): Promise<void> {
    // Stalls count from here on, as the order to stop may come before the addresses are bound.
    const stopLoopMonitor = this.#loopMonitor.start();
    this.#stopTick = stopLoopMonitor;
    this.#follower.start();
    this.#registration.start();
    await Promise.all([
      this.#bind("callers", () => this.#proxy.listen()).then(() => this.#acceptsCallers = true),
      this.#bind("peers", () => this.#network.start()),
      this.#operatorServers.listenForReadiness(),
    ]);
    if (this.#isKilled) return;
    void this.#operatorServers.listenForMetrics();
    this.#duties?.start();
    const stopTick = this.#options.clock.setRepeating(TICK_MS, () => this.#tick());
    const stopMemoryMonitor = this.#memoryMonitor.start();
    this.#stopTick = () => {
      stopLoopMonitor();
      stopMemoryMonitor();
      stopTick();
    };
    if (this.#stop.hasBegun) return;
    this.#options.log.state("started", {
      sinceStartMs: Math.round(performance.now()),
      name: this.#options.settings.name,
      callers: this.#proxy.address,
      memoryMb: this.#options.settings.memory_mb,
    });
  }

  #makeShares(clock: Clock): RequestShare {
    const { log, settings } = this.#options;
    return new RequestShare({
      network: this.#network,
      clock,
      log,
      windowMs: settings.bounds.retry_window_ms,
      gatewayCount: () => this.#network.sharingCount(),
    });
  }

  /** Bytes that are held for requests, by what they belong to. */
  #bufferedBytes() {
    const { bodyBytes, responseBytes } = this.#budget;
    return { bodies: bodyBytes, responses: responseBytes, peers: this.#network.queuedBytes };
  }

  #memoryHoldings(): MemoryHoldings {
    const { bodies, responses, peers } = this.#bufferedBytes();
    return {
      bodyBytes: bodies,
      responseBytes: responses,
      peerBytes: peers,
      connections: this.#proxy.connectionCount,
      requests: this.#proxy.active,
      waitingForRoom: this.#proxy.waitingForRoom,
    };
  }

  #bind(what: string, listen: () => Promise<void>): Promise<void> {
    const { clock, log } = this.#options;
    const isStopped = () => this.#isKilled || this.#stop.hasBegun;
    return bindAddress(listen, { clock, log, what, isStopped });
  }

  /** Applies those settings that may change while the process runs. */
  reconfigure({ bounds }: GatewaySettings): void {
    this.#retryBudgets.configure(retryOptions(bounds));
    this.#coldLimiter.configure(coldOptions(bounds));
    this.#keys.configure(revocationOptions(bounds));
  }

  /**
   * Shuts down gracefully: reports not ready, finishes requests in progress, then closes. Resolves within the grace
   * period, counted from the earliest moment at which the order to stop may have been sent, with the time by `clock` at
   * which the process may be killed, in milliseconds.
   */
  stop(): Promise<number> {
    return this.#stop.run();
  }

  /** Closes everything at once, as when the process dies. */
  async kill(): Promise<void> {
    this.#isKilled = true;
    this.#proxy.destroy();
    this.#registration.stop();
    this.#follower.stop();
    this.#stopTick();
    this.#operatorServers.close();
    this.#upstreams.close();
    this.#duties?.stop();
    for (const undo of this.#undos) undo();
    await this.#network.stop();
    await this.#options.store.close();
  }

  /** Whether callers may connect to this gateway. */
  get isReady(): boolean {
    return this.#acceptsCallers && !this.#stop.hasBegun && this.#fleet.isKnown &&
      this.#fleet.endpoints.size > 0 && !this.#keys.needsRenewal;
  }

  /** Tells peers whether this gateway takes new streams, from when it does for the first time. */
  #announceLoad(): void {
    if (this.#wasReady) this.#network.announceOverload(this.#host.isOverloaded || !this.isReady);
  }

  /** Logs when callers may connect for the first time. */
  #logFirstReady(): void {
    if (this.#wasReady || !this.isReady) return;
    this.#wasReady = true;
    const { user, system } = process.cpuUsage();
    this.#options.log.state("ready", {
      sinceStartMs: Math.round(performance.now()),
      configKnownMs: Math.round(this.#configKnownMs ?? 0),
      processorMs: Math.round((user + system) / 1_000),
    });
  }

  /** Makes the periodic checks. One that fails keeps none of the others from being made. */
  #tick(): void {
    this.#check("viewSync", () => this.#viewSync.tick());
    this.#check("keys", () => this.#keys.tick());
    this.#check("fleet", () => this.#fleet.tick());
    this.#check("readiness", () => {
      this.#logFirstReady();
      this.#announceLoad();
    });
    this.#check("dispatcher", () => this.#dispatcher.tick());
    this.#check("engineMonitor", () => this.#engineMonitor.tick());
    this.#check("migrator", () => this.#migrator.tick());
    this.#check("moves", () => this.#moves.tick());
    this.#check("shares", () => this.#shares?.tick());
  }

  #check(part: string, check: () => void): void {
    this.#errors.run("tick", check, undefined, { part });
  }
}
