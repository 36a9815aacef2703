/**
 * What an entry is made of.
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

/** What an entry is made of. */
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
  /** Holds idempotency keys; without it, calls with a key are refused. */
  readonly store?: ObjectStore;
  readonly idempotency?: Partial<Omit<IdempotencyOptions, "store" | "clock">>;
  readonly versions?: VersionChooser;
  readonly metrics?: Metrics;
  readonly quarantine?: Quarantine;
  readonly lengths?: LengthEstimator;
  /** Limits of client accounts; by default the entry limits by what it sees itself. */
  readonly accounts?: AccountLimiter;
  /** Told of each attempt that is evidence about its version. */
  readonly onOutcome?: (outcome: RequestOutcome) => void;
  /** Spreads the waits of held requests. */
  readonly rng?: Rng;
  readonly limits?: Partial<RelayLimits>;
  /** Largest body of a completion request; it must fit into one frame. */
  readonly maxBodyBytes?: number;
  /** Silence of a plain service's answer that ends a call. */
  readonly callSilenceMs?: number;
  /** Makes ids; random by default. */
  readonly makeId?: (prefix: string) => string;
}
