/**
 * The platform's store as a gateway needs it.
 *
 * @module
 */
import type { ServiceId } from "@wisteriapick/core";
import type { GatewayRecord, MoveState } from "../config/types.ts";
import type { Snapshot, ViewChanges, ViewItems, ViewKind } from "./store_view.ts";

/** What a watch brought: changes, or the news that the history it needs is gone. */
export type WatchResult<T> =
  | { readonly type: "changes"; readonly changes: ViewChanges<T> }
  | { readonly type: "history_gone" };

/** A move's status as it is written. */
export interface MoveStatus {
  readonly service: ServiceId;
  readonly target: string;
  readonly state: MoveState;
}

/** What became of a conditional write. */
export type WriteResult = "written" | "conflict" | "missing";

/**
 * Access to the platform's store.
 *
 * Calls reject with a `WpFailure`: `store_unavailable` where nothing was done, `store_outcome_unknown` where a write
 * may have been done, `rate_limited` where the store asks for fewer calls.
 */
export abstract class StateStore {
  /** Reads all objects of a kind. Objects that cannot be understood are left out. */
  abstract list<K extends ViewKind>(kind: K): Promise<Snapshot<ViewItems[K]>>;

  /** Waits up to `waitMs` for changes after `revision`. `signal` gives the call up. */
  abstract watch<K extends ViewKind>(
    kind: K,
    revision: number,
    options: { readonly waitMs: number; readonly signal: AbortSignal },
  ): Promise<WatchResult<ViewItems[K]>>;

  /** Writes a move's status where the move is still at `revision`. */
  abstract writeMoveStatus(status: MoveStatus, revision: number): Promise<WriteResult>;

  /** Registers a gateway, or renews what is registered under its name. */
  abstract writeGateway(record: GatewayRecord): Promise<void>;

  /** Removes a gateway's registration; does nothing where there is none. */
  abstract removeGateway(name: string): Promise<void>;

  /** Frees connections. */
  abstract close(): Promise<void>;
}
