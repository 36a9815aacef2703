/**
 * The processes of the cluster: those of the host list, which lags, without those that links cannot reach.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";
import type { HostRecord, HostSnapshot } from "@wisteriapick/clients";
import { parseRemoteAddress } from "@wisteriapick/wire";
import type { PropagationMember } from "./tree.ts";

/** How long an unreachable process is left out, unless a link to it opens before. */
export const SUSPECT_DURATION_MS = 15_000;

/** Key of a process, which stays the same when the process restarts on its host. */
export function memberKey(host: string, role: "entry" | "side"): string {
  return `${host}/${role}`;
}

/** Processes of one host. A leaving host stays a member until it is gone, because it still relays. */
export function membersOf(host: HostRecord): PropagationMember[] {
  return listedOf(host).filter(hasAddress);
}

/** Processes that the host list names for one host, at whatever addresses. */
function listedOf(host: HostRecord): PropagationMember[] {
  const { dataCentre } = host;
  const members: PropagationMember[] = [];
  if (host.entry) {
    members.push({ key: memberKey(host.host, "entry"), dataCentre, address: host.entry });
  }
  if (host.side) {
    members.push({ key: memberKey(host.host, "side"), dataCentre, address: host.side });
  }
  return members;
}

/** Whether a link to a member can be opened, as far as its address tells. */
function hasAddress({ address }: PropagationMember): boolean {
  try {
    parseRemoteAddress(address);
    return true;
  } catch {
    return false;
  }
}

/** Options of {@link Membership}. */
export interface MembershipOptions {
  /** Called with a listed process that is left out, when it is first listed or has another address. */
  readonly onAddressInvalid?: (member: PropagationMember) => void;
}

/** The current members, with listeners for their changes. */
export class Membership {
  readonly #clock: Clock;
  readonly #onAddressInvalid: (member: PropagationMember) => void;
  readonly #suspects = new Map<string, number>();
  readonly #listeners = new Set<(members: readonly PropagationMember[]) => void>();
  readonly #snapshotListeners = new Set<(snapshot: HostSnapshot) => void>();
  #index = -1;
  #hosts: readonly HostRecord[] = [];
  /** Processes of the hosts, those at invalid addresses left out. */
  #listed: readonly PropagationMember[] = [];
  /** Invalid addresses in the last list, by member. */
  #invalid: ReadonlyMap<string, string> = new Map();
  #members: readonly PropagationMember[] = [];

  constructor(clock: Clock, { onAddressInvalid = () => {} }: MembershipOptions = {}) {
    this.#clock = clock;
    this.#onAddressInvalid = onAddressInvalid;
  }

  /** Hosts as last listed. */
  get hosts(): readonly HostRecord[] {
    return this.#hosts;
  }

  /** Members that are not suspected to be unreachable. */
  members(): readonly PropagationMember[] {
    return this.#members;
  }

  registerListener(fn: (members: readonly PropagationMember[]) => void): Undo {
    this.#listeners.add(fn);
    return () => void this.#listeners.delete(fn);
  }

  /** Calls `fn` with each host list that is newer than the last. */
  registerSnapshotListener(fn: (snapshot: HostSnapshot) => void): Undo {
    this.#snapshotListeners.add(fn);
    return () => void this.#snapshotListeners.delete(fn);
  }

  /** Applies a host list. An older one than the last is ignored. */
  recordHosts(snapshot: HostSnapshot): void {
    if (snapshot.index <= this.#index) return;
    this.#index = snapshot.index;
    this.#hosts = snapshot.hosts;
    this.#listMembers();
    this.#refresh();
    for (const fn of this.#snapshotListeners) fn(snapshot);
  }

  /** Records that no link to a member can be opened, or that its heartbeats stopped. */
  recordUnreachable(key: string): void {
    this.#suspects.set(key, this.#clock.now() + SUSPECT_DURATION_MS);
    this.#refresh();
  }

  /** Records that a link to a member is open. */
  recordReachable(key: string): void {
    if (this.#suspects.delete(key)) this.#refresh();
  }

  /** Restores members that have been suspects for {@link SUSPECT_DURATION_MS}. */
  tick(): void {
    const now = this.#clock.now();
    let changed = false;
    for (const [key, until] of this.#suspects) {
      if (until <= now) changed = this.#suspects.delete(key);
    }
    if (changed) this.#refresh();
  }

  #listMembers(): void {
    const listed = [];
    const invalid = new Map<string, string>();
    for (const member of this.#hosts.flatMap(listedOf)) {
      if (hasAddress(member)) {
        listed.push(member);
        continue;
      }
      invalid.set(member.key, member.address);
      if (this.#invalid.get(member.key) !== member.address) this.#onAddressInvalid(member);
    }
    this.#listed = listed;
    this.#invalid = invalid;
  }

  #refresh(): void {
    const next = this.#listed.filter((m) => !this.#suspects.has(m.key));
    const same = next.length === this.#members.length &&
      next.every((m, i) =>
        m.key === this.#members[i]!.key && m.address === this.#members[i]!.address
      );
    if (same) return;
    this.#members = next;
    for (const fn of this.#listeners) fn(next);
  }
}
