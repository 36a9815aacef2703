/**
 * The control part of a process, which keeps its configuration in force: membership, propagation and watcher duty.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  type ProcessId,
  type Revision,
  revision,
  type Rng,
  type Undo,
} from "@wisteriapick/core";
import type { HostList, ObjectStore } from "@wisteriapick/clients";
import type { Identity, LinkPool } from "@wisteriapick/wire";
import type { Change } from "./changes.ts";
import { ConfigLog } from "./config_log.ts";
import { ConfigState } from "./config_state.ts";
import { ReturnDuty } from "./data_centre_gate.ts";
import { NO_FENCE } from "./fence_gate.ts";
import type { LogEntry } from "./log_entry.ts";
import { memberKey, Membership } from "./membership.ts";
import { PropagationLinks } from "./propagation_links.ts";
import { PropagationNode } from "./propagation_node.ts";
import { buildPushes } from "./propagation_push.ts";
import { type PropagationMember, rankMembers, WATCHERS_PER_DATA_CENTRE } from "./tree.ts";
import { WatcherDuty } from "./watcher_duty.ts";

/** Shortest mean time between two reads of the host list. */
const MIN_HOST_LIST_INTERVAL_MS = 2_000;
/**
 * Read interval per host. At about 150 bytes per host it makes 1.3 KB/s, while the busiest member of the tree sends
 * 3.5 KB/s of the 5 KB/s allowed.
 */
const HOST_LIST_MS_PER_HOST = 112.5;

/**
 * Mean time between two reads of the host list by one process. With many hosts a new one is noticed later, while
 * lost links show dead hosts and reports of their sides show leaving ones.
 */
export function hostListIntervalMs(hosts: number): number {
  return Math.max(MIN_HOST_LIST_INTERVAL_MS, hosts * HOST_LIST_MS_PER_HOST);
}

/** Changes that must reach every process within seconds even when the store fails. */
const URGENT_CHANGES: ReadonlySet<Change["type"]> = new Set([
  "set_data_centre_state",
  "finish_move",
  "take_back_move",
  "settle_move",
]);
/** Longest part of an invalid address in the log. */
const MAX_QUOTED = 64;
/** Entries in an offer, so that a watcher that lacks a few entries can apply it. */
const OFFERED_ENTRIES = 16;

/** Options of {@link ControlProcess}. */
export interface ControlProcessOptions {
  readonly self: PropagationMember;
  readonly process: ProcessId;
  readonly store: ObjectStore;
  readonly hostList: HostList;
  readonly pool: LinkPool;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log?: Logger;
}

/**
 * The control part of an entry or side. `state` is its `ConfigSource`, and streams that open with `config_pull` are
 * passed to `links.accept`.
 *
 * @example
 * ```ts
 * const control = new ControlProcess({ self, process, store, hostList, pool, clock, rng });
 * const stop = control.start();
 * control.state.registerListener((view) => apply(view));
 * ```
 */
export class ControlProcess {
  readonly state: ConfigState;
  readonly membership: Membership;
  readonly node: PropagationNode;
  readonly links: PropagationLinks;
  readonly watcherDuty: WatcherDuty;
  /** Writes changes, which are in force at this process as soon as they are accepted. */
  readonly log: ConfigLog;
  readonly #options: ControlProcessOptions;

  constructor(options: ControlProcessOptions) {
    const { self, process, store, pool, clock, rng, log } = options;
    this.#options = options;
    this.state = new ConfigState(clock);
    this.membership = new Membership(clock, {
      onAddressInvalid: ({ key, address }) =>
        log?.warn({ member: key, address: address.slice(0, MAX_QUOTED) }, "invalid host address"),
    });
    this.links = new PropagationLinks(pool, this.membership);
    const dependencies = this.links;
    this.node = new PropagationNode({
      self,
      clock,
      rng: rng.fork("spread"),
      dependencies,
      state: this.state,
    });
    this.links.connect(this.node);
    this.log = new ConfigLog(store, clock, rng.fork("log"), {
      state: this.state,
      onAccepted: (entry) => this.#offerUrgent(entry),
    });
    const dutyRng = rng.fork("watcher");
    this.watcherDuty = new WatcherDuty(store, clock, dutyRng, { node: this.node, process });
  }

  start(): Undo {
    const undos = [
      this.membership.registerListener((members) => {
        this.node.setMembers(members);
        this.watcherDuty.setMembers(members);
      }),
      this.#options.clock.setRepeating(1_000, () => this.membership.tick()),
    ];
    let stopped = false;
    void this.#readHosts().then(() => {
      if (stopped) return;
      undos.push(this.node.start(), this.watcherDuty.start(), this.#makeReturnDuty().start());
      this.#pollHosts(undos);
    });
    return () => {
      stopped = true;
      for (const fn of undos) fn();
      this.links.close();
    };
  }

  /**
   * Records the revision that a request or a response of a peer carried. A newer one is fetched from that peer at
   * once.
   */
  onPeerRevision(peer: Pick<Identity, "host" | "role">, peerRevision: Revision): void {
    if (peerRevision <= this.state.current().revision || peer.role === "operator") return;
    const key = memberKey(peer.host, peer.role);
    const member = this.membership.members().find((m) => m.key === key);
    if (member !== undefined) this.node.onPeerRevision(member, peerRevision);
  }

  /** The duty of watchers to write the end of returns. Several at once write one entry, as its id is the same. */
  #makeReturnDuty(): ReturnDuty {
    const { clock, rng, process } = this.#options;
    const lease = { fence: () => this.watcherDuty.isWatching ? NO_FENCE : null };
    return new ReturnDuty({ lease, log: this.log, clock, rng: rng.fork("returns"), who: process });
  }

  /** Sends an urgent change to the watchers of all data centres, as the store may fail right after accepting it. */
  #offerUrgent(entry: LogEntry): void {
    if (!entry.changes.some((c) => URGENT_CHANGES.has(c.type))) return;
    const members = this.membership.members();
    const dataCentres = [...new Set(members.map((m) => m.dataCentre))];
    const tops = dataCentres.flatMap((dc) =>
      rankMembers(members, dc).slice(0, WATCHERS_PER_DATA_CENTRE)
    );
    const from = revision(Math.max(0, entry.revision - OFFERED_ENTRIES));
    const header = { asOfMs: null, storeUp: this.node.storeUp };
    const [push] = buildPushes(
      this.state,
      this.state.entriesAfter(from) ? from : revision(entry.revision - 1),
      header,
    );
    this.links.offer(tops.filter((m) => m.key !== this.node.self.key), push!);
  }

  #pollHosts(undos: Undo[]): void {
    const { clock, rng } = this.#options;
    let stopTimer: Undo = () => {};
    const scheduleRead = () => {
      const intervalMs = hostListIntervalMs(this.membership.hosts.length) * (0.5 + rng.next());
      stopTimer = clock.setTimer(intervalMs, () => {
        void this.#readHosts();
        scheduleRead();
      });
    };
    scheduleRead();
    undos.push(() => stopTimer());
  }

  async #readHosts(): Promise<void> {
    try {
      this.membership.recordHosts(await this.#options.hostList.read());
    } catch {
      // The last list stays in use, and links show which processes can be reached.
    }
  }
}
