/**
 * Checkers of routing and configuration: cold-start limit, data centre out, bad version, leaving endpoint,
 * configuration.
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

/** Time after the `out` of a data centre is accepted from which no new work may start in it. */
export const DATA_CENTRE_OUT_DEADLINE_MS = 3_000;
/** Time after an endpoint is announced as leaving from which no new work may start on it. */
export const LEAVING_DEADLINE_MS = 5_000;
/** Time after the verdict that a version is bad from which no new work may start on it. */
export const BAD_VERSION_DEADLINE_MS = 5_000;
/** Number of bad responses after which a bad version's share of requests is bounded. */
export const BAD_RESPONSE_THRESHOLD = 50;
/** Largest share of its service's requests that a bad version may get after {@link BAD_RESPONSE_THRESHOLD}. */
export const MAX_BAD_VERSION_SHARE = 0.01;
/** Time within which an accepted change must be in force at every connected process. */
export const IN_FORCE_DEADLINE_MS = 5_000;

/** Cold-start limit: an endpoint in a cold start never runs more than the concurrency it sustains. */
export class ColdStartChecker extends Checker {
  readonly promise = 2;

  protected onEvent(event: HistoryEvent, at: number): void {
    if (event.type !== "endpoint_pressure" || !event.cold) return;
    this.examine();
    if (event.running <= event.capacity) return;
    this.violate(
      at,
      `${event.endpoint}: ${event.running} running during a cold start, capacity ${event.capacity}`,
    );
  }
}

/** Data centre out: a data centre that is out receives no new work after {@link DATA_CENTRE_OUT_DEADLINE_MS}. */
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
      if (since === undefined || event.atMs <= since + DATA_CENTRE_OUT_DEADLINE_MS) return;
      this.violate(
        at,
        `${event.req}: started in ${event.dataCentre} ${event.atMs - since} ms after it went out`,
      );
    }
  }
}

interface BadVersion {
  badResponses: number;
  /** Requests of the service, and those of them to this version, after the threshold of bad responses. */
  requests: number;
  toVersion: number;
  verdictMs: number | null;
}

/**
 * Bad version: after {@link BAD_RESPONSE_THRESHOLD} bad responses a version gets only a small share of requests, and
 * after the verdict that it is bad it soon gets none.
 */
export class BadVersionChecker extends Checker {
  readonly promise = 4;
  readonly #versions = new Map<string, BadVersion>();

  protected onEvent(event: HistoryEvent, at: number): void {
    if (event.type === "bad_answer") {
      this.examine();
      this.#version(event.service, event.version).badResponses++;
    } else if (event.type === "version_verdict") {
      this.examine();
      this.#version(event.service, event.version).verdictMs = event.atMs;
    } else if (event.type === "work_started") {
      this.#onWork(event, at);
    }
  }

  protected override onEnd(length: number): void {
    for (const [key, v] of this.#versions) {
      // One request is always allowed, as 1% of fewer than 100 requests is less than one.
      const allowed = Math.max(1, MAX_BAD_VERSION_SHARE * v.requests);
      if (v.toVersion > allowed) {
        this.violate(
          length,
          `${key}: ${v.toVersion} of ${v.requests} requests after ${BAD_RESPONSE_THRESHOLD} bad responses`,
        );
      }
    }
  }

  #onWork(event: HistoryEvent & { type: "work_started" }, at: number): void {
    for (const [key, v] of this.#versions) {
      const [service, version] = key.split("/");
      if (service !== event.service) continue;
      const isSameVersion = version === event.version;
      if (v.badResponses >= BAD_RESPONSE_THRESHOLD) {
        v.requests++;
        if (isSameVersion) v.toVersion++;
      }
      if (
        !isSameVersion || v.verdictMs === null ||
        event.atMs <= v.verdictMs + BAD_VERSION_DEADLINE_MS
      ) {
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
    const added = { badResponses: 0, requests: 0, toVersion: 0, verdictMs: null };
    this.#versions.set(key, added);
    return added;
  }
}

/** Leaving endpoint: an endpoint that is leaving receives no new work after {@link LEAVING_DEADLINE_MS}. */
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
      if (since === undefined || event.atMs <= since + LEAVING_DEADLINE_MS) return;
      this.violate(
        at,
        `${event.req}: started on ${event.endpoint} ${
          event.atMs - since
        } ms after it was announced as leaving`,
      );
    }
  }
}

interface ProcessState {
  revision: number;
  connectedSinceMs: number | null;
}

interface AcceptedChange {
  readonly revision: number;
  readonly atMs: number;
}

/**
 * Configuration: an accepted change is in force at every connected process within {@link IN_FORCE_DEADLINE_MS} and
 * never reverts. The time counts from the acceptance, the start of the process or its reconnection, whichever is last.
 */
export class ConfigurationChecker extends Checker {
  readonly promise = 10;
  readonly #processes = new Map<ProcessId, ProcessState>();
  readonly #accepted: AcceptedChange[] = [];
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
      this.violate(at, `revision ${revision} was accepted with two different contents`);
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
        if (this.#lastMs <= since + IN_FORCE_DEADLINE_MS || this.#reported.has(key)) continue;
        this.#reported.add(key);
        this.violate(
          at,
          `${process}: revision ${revision} not in force after ${this.#lastMs - since} ms`,
        );
      }
    }
  }
}

/** Counts the distinct requests that callers sent in a history. */
export function countRequests(history: readonly HistoryEvent[]): number {
  const reqs = new Set<RequestId>();
  for (const event of history) if (event.type === "request_sent") reqs.add(event.req);
  return reqs.size;
}
