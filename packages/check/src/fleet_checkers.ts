/**
 * Checkers of where work goes: promises 2, 3, 4, 8 and 10.
 *
 * @module
 */
import type {
  DataCentreId,
  EndpointId,
  ProcessId,
  RequestId,
  ServiceId,
  VersionId,
} from "@wisteriapick/core";
import { Checker } from "./checker.ts";
import type { HistoryEvent } from "./history.ts";

/** Latest new work in a data centre after its `out` was accepted. */
export const OUT_WITHIN_MS = 3_000;
/** Latest new work on an endpoint after it was announced as leaving. */
export const LEAVING_WITHIN_MS = 5_000;
/** Latest new work on a version after the verdict that it is bad. */
export const BAD_VERSION_WITHIN_MS = 5_000;
/** Bad answers after which a bad version's share is bounded. */
export const BAD_ANSWERS_FREE = 50;
/** Largest share of its service's requests that a bad version gets after those. */
export const BAD_SHARE_MAX = 0.01;
/** Longest time until an accepted change is in force at every connected process. */
export const IN_FORCE_WITHIN_MS = 5_000;

/** Promise 2: an endpoint in its cold start never receives more than it bears. */
export class ColdStartChecker extends Checker {
  readonly promise = 2;

  protected onEvent(event: HistoryEvent, at: number): void {
    if (event.type !== "endpoint_pressure" || !event.cold) return;
    this.examine();
    if (event.running <= event.bears) return;
    this.violate(
      at,
      `${event.endpoint}: ${event.running} running while cold, bears ${event.bears}`,
    );
  }
}

/** Promise 3: a data centre that is out receives no new work after a few seconds. */
export class DataCentreOutChecker extends Checker {
  readonly promise = 3;
  readonly #outSince = new Map<DataCentreId, number>();

  protected onEvent(event: HistoryEvent, at: number): void {
    if (event.type === "data_centre_out") {
      this.examine();
      this.#outSince.set(event.dataCentre, event.atMs);
    } else if (event.type === "data_centre_in") {
      this.#outSince.delete(event.dataCentre);
    } else if (event.type === "work_started") {
      const since = this.#outSince.get(event.dataCentre);
      if (since === undefined || event.atMs <= since + OUT_WITHIN_MS) return;
      this.violate(
        at,
        `${event.req}: started in ${event.dataCentre} ${event.atMs - since} ms after it went out`,
      );
    }
  }
}

interface BadVersion {
  badAnswers: number;
  /** Requests of the service, and of them to this version, after the free bad answers. */
  requests: number;
  toVersion: number;
  verdictMs: number | null;
}

/** Promise 4: a bad version gets a small share, and nothing soon after its badness shows. */
export class BadVersionChecker extends Checker {
  readonly promise = 4;
  readonly #versions = new Map<string, BadVersion>();

  protected onEvent(event: HistoryEvent, at: number): void {
    if (event.type === "bad_answer") {
      this.examine();
      this.#version(event.service, event.version).badAnswers++;
    } else if (event.type === "version_verdict") {
      this.examine();
      this.#version(event.service, event.version).verdictMs = event.atMs;
    } else if (event.type === "work_started") {
      this.#onWork(event, at);
    }
  }

  protected override onEnd(length: number): void {
    for (const [key, v] of this.#versions) {
      // One request is always allowed: below 100 requests 1% is less than one.
      const allowed = Math.max(1, BAD_SHARE_MAX * v.requests);
      if (v.toVersion > allowed) {
        this.violate(
          length,
          `${key}: ${v.toVersion} of ${v.requests} requests after ${BAD_ANSWERS_FREE} bad answers`,
        );
      }
    }
  }

  #onWork(event: HistoryEvent & { type: "work_started" }, at: number): void {
    for (const [key, v] of this.#versions) {
      const [service, version] = key.split("/");
      if (service !== event.service) continue;
      const same = version === event.version;
      if (v.badAnswers >= BAD_ANSWERS_FREE) {
        v.requests++;
        if (same) v.toVersion++;
      }
      if (!same || v.verdictMs === null || event.atMs <= v.verdictMs + BAD_VERSION_WITHIN_MS) {
        continue;
      }
      this.violate(
        at,
        `${event.req}: sent to ${key} ${event.atMs - v.verdictMs} ms after the verdict`,
      );
    }
  }

  #version(service: ServiceId, version: VersionId): BadVersion {
    const key = `${service}/${version}`;
    const known = this.#versions.get(key);
    if (known !== undefined) return known;
    const added = { badAnswers: 0, requests: 0, toVersion: 0, verdictMs: null };
    this.#versions.set(key, added);
    return added;
  }
}

/** Promise 8: a leaving endpoint receives no new work after a few seconds. */
export class LeavingChecker extends Checker {
  readonly promise = 8;
  readonly #leavingSince = new Map<EndpointId, number>();

  protected onEvent(event: HistoryEvent, at: number): void {
    if (event.type === "endpoint_leaving") {
      this.examine();
      this.#leavingSince.set(event.endpoint, event.atMs);
    } else if (event.type === "endpoint_returned") {
      this.#leavingSince.delete(event.endpoint);
    } else if (event.type === "work_started") {
      const since = this.#leavingSince.get(event.endpoint);
      if (since === undefined || event.atMs <= since + LEAVING_WITHIN_MS) return;
      this.violate(
        at,
        `${event.req}: started on ${event.endpoint} ${event.atMs - since} ms after it was leaving`,
      );
    }
  }
}

interface ProcessState {
  revision: number;
  connectedSinceMs: number | null;
}

interface Accepted {
  readonly revision: number;
  readonly atMs: number;
}

/**
 * Promise 10: an accepted configuration is in force everywhere within seconds and never reverts. A process counts
 * from the later of the acceptance, its start and its reconnection.
 */
export class ConfigurationChecker extends Checker {
  readonly promise = 10;
  readonly #processes = new Map<ProcessId, ProcessState>();
  readonly #accepted: Accepted[] = [];
  readonly #digests = new Map<number, string>();
  readonly #reported = new Set<string>();
  #lastMs = 0;

  protected onEvent(event: HistoryEvent, at: number): void {
    this.#lastMs = event.atMs;
    this.#checkOverdue(at);
    switch (event.type) {
      case "process_started":
        this.#processes.set(event.process, { revision: 0, connectedSinceMs: event.atMs });
        break;
      case "process_killed":
        this.#processes.delete(event.process);
        break;
      case "process_connected":
        this.#onConnected(event.process, event.connected, event.atMs);
        break;
      case "change_accepted":
        this.#onAccepted(event.revision, event.digest, event.atMs, at);
        break;
      case "revision_in_force":
        this.#onInForce(event.process, event.revision, event.digest, at);
        break;
    }
  }

  protected override onEnd(length: number): void {
    this.#checkOverdue(length);
  }

  #onConnected(process: ProcessId, connected: boolean, atMs: number): void {
    const state = this.#processes.get(process);
    if (state !== undefined) state.connectedSinceMs = connected ? atMs : null;
  }

  #onAccepted(revision: number, digest: string, atMs: number, at: number): void {
    this.examine();
    const known = this.#digests.get(revision);
    if (known !== undefined && known !== digest) {
      this.violate(at, `revision ${revision} was accepted with two contents`);
    }
    this.#digests.set(revision, digest);
    this.#accepted.push({ revision, atMs });
  }

  #onInForce(process: ProcessId, revision: number, digest: string, at: number): void {
    this.examine();
    const state = this.#processes.get(process);
    if (state === undefined) return;
    if (revision < state.revision) {
      this.violate(at, `${process}: went from revision ${state.revision} back to ${revision}`);
    }
    const accepted = this.#digests.get(revision);
    if (accepted !== undefined && accepted !== digest) {
      this.violate(at, `${process}: revision ${revision} differs from what was accepted`);
    }
    state.revision = Math.max(state.revision, revision);
  }

  #checkOverdue(at: number): void {
    for (const { revision, atMs } of this.#accepted) {
      for (const [process, state] of this.#processes) {
        if (state.connectedSinceMs === null || state.revision >= revision) continue;
        const since = Math.max(atMs, state.connectedSinceMs);
        const key = `${process}/${revision}`;
        if (this.#lastMs <= since + IN_FORCE_WITHIN_MS || this.#reported.has(key)) continue;
        this.#reported.add(key);
        this.violate(
          at,
          `${process}: revision ${revision} not in force after ${this.#lastMs - since} ms`,
        );
      }
    }
  }
}

/** Requests that a history names, for reports. */
export function countRequests(history: readonly HistoryEvent[]): number {
  const reqs = new Set<RequestId>();
  for (const event of history) if (event.type === "request_sent") reqs.add(event.req);
  return reqs.size;
}
