/**
 * Options of an entry.
 *
 * @module
 */
import type { Logger, Metrics, Rng, World } from "@wisteriapick/core";
import type { ConfigSource, RequestOutcome } from "@wisteriapick/control";
import type { ObjectStore } from "@wisteriapick/clients";
import type { LengthEstimator, Placement, Quarantine } from "@wisteriapick/policy";
import type { Identity } from "@wisteriapick/wire";
import type { AccountLimiter } from "./account_limiter.ts";
import type { EndpointDirectory } from "./endpoint_directory.ts";
import type { RelayLimits } from "./entry_relay.ts";
import type { VersionChooser } from "./entry_versions.ts";
import type { HttpListenOptions } from "./http_server.ts";
import type { IdempotencyOptions } from "./idempotency.ts";
import type { LinkRouter } from "./link_router.ts";
import type { LinkSource } from "./link_source.ts";

/** What the host of an entry has. */
export interface EntryHost {
  /** Memory over which the host ends the process, in MiB; `null` if there is no known limit. */
  readonly memoryMb: number | null;
  /** Descriptors that the process may have open; `null` if there is no known limit. */
  readonly maxDescriptors: number | null;
}

/** Options of an {@link Entry}. */
export interface EntryOptions {
  readonly identity: Identity;
  readonly clusterKey: Uint8Array | string;
  readonly listen: HttpListenOptions;
  readonly config: ConfigSource;
  readonly directory: EndpointDirectory;
  readonly links: LinkSource;
  readonly router: LinkRouter;
  readonly placement: Placement;
  readonly world: World;
  readonly log: Logger;
  /** Bounds what callers may hold; one without known limits by default. */
  readonly entryHost?: EntryHost;
  /** Descriptors that the process has open besides those of callers; none by default. */
  readonly otherDescriptors?: () => number;
  /** Stores idempotency keys; without it, calls with a key are refused. */
  readonly store?: ObjectStore;
  readonly idempotency?: Partial<Omit<IdempotencyOptions, "store" | "clock">>;
  readonly versions?: VersionChooser;
  readonly metrics?: Metrics;
  readonly quarantine?: Quarantine;
  readonly lengths?: LengthEstimator;
  /** Limits of client accounts; by default the entry counts only its own requests. */
  readonly accounts?: AccountLimiter;
  /** Called with each attempt outcome that counts as evidence about its version. */
  readonly onOutcome?: (outcome: RequestOutcome) => void;
  /** Randomises how long held requests wait. */
  readonly rng?: Rng;
  readonly limits?: Partial<RelayLimits>;
  /** Largest body of a completion request; it must fit into one frame. */
  readonly maxBodyBytes?: number;
  /** A call ends when its plain service sends nothing for this long. */
  readonly callIdleTimeoutMs?: number;
  /** Makes ids; random by default. */
  readonly makeId?: (prefix: string) => string;
}
