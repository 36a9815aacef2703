/**
 * Typed changes of the configuration and their validation against the configuration that they apply to.
 *
 * @module
 */
import {
  type DataCentreId,
  dataCentreId,
  type MoveId,
  moveId,
  raise,
  type ServiceId,
  type VersionId,
} from "@wisteriapick/core";
import { z } from "zod";
import {
  type Account,
  AccountSchema,
  type ConfigView,
  DataCentreSchema,
  EndpointSchema,
  type Move,
  MoveSchema,
  type Service,
  ServiceSchema,
} from "./config_document.ts";

/** Moves of one service, ended ones included, that stay in the document for `status`. */
const MAX_MOVES_PER_SERVICE = 8;

const moveKey = z.string().transform((s) => moveId(s));
const dataCentreKey = z.string().transform((s) => dataCentreId(s));
const nonEmptyId = z.string().min(1);

/** One typed change. Times are Unix ms; `share` is 0 to 1. */
export const ChangeSchema = z.discriminatedUnion("type", [
  z.object({ type: z.literal("put_service"), service: ServiceSchema }).strict(),
  z.object({ type: z.literal("remove_service"), id: nonEmptyId }).strict(),
  z.object({ type: z.literal("put_account"), account: AccountSchema }).strict(),
  z.object({ type: z.literal("remove_account"), id: nonEmptyId }).strict(),
  z.object({ type: z.literal("put_endpoint"), endpoint: EndpointSchema }).strict(),
  z.object({ type: z.literal("remove_endpoint"), id: nonEmptyId }).strict(),
  z.object({ type: z.literal("put_data_centre"), dataCentre: DataCentreSchema }).strict(),
  z.object({ type: z.literal("remove_data_centre"), id: nonEmptyId }).strict(),
  z.object({
    type: z.literal("set_data_centre_state"),
    id: dataCentreKey,
    state: z.enum(["in", "out", "returning"]),
    atMs: z.number(),
  }).strict(),
  z.object({ type: z.literal("open_move"), move: MoveSchema }).strict(),
  z.object({
    type: z.literal("advance_move"),
    id: moveKey,
    share: z.number().min(0).max(1),
  }).strict(),
  z.object({ type: z.literal("finish_move"), id: moveKey, reason: z.string() }).strict(),
  z.object({ type: z.literal("take_back_move"), id: moveKey, reason: z.string() }).strict(),
  z.object({
    type: z.literal("settle_move"),
    id: moveKey,
    outcome: z.enum(["finished", "taken_back"]),
    reason: z.string(),
  }).strict(),
]);

/** A change that was validated by {@link ChangeSchema}. */
export type Change = z.output<typeof ChangeSchema>;

function invalid(message: string): never {
  raise({ type: "invalid_change", message });
}

/**
 * Maps that the current update has already copied. Nothing else holds them yet, so that they are changed in place
 * and an entry with many changes copies each map once.
 */
type CopiedMaps = WeakSet<object>;

function copyOnce<K, V>(map: ReadonlyMap<K, V>, copied: CopiedMaps): Map<K, V> {
  if (copied.has(map)) return map as Map<K, V>;
  const copy = new Map(map);
  copied.add(copy);
  return copy;
}

function put<K, V>(
  map: ReadonlyMap<K, V>,
  key: K,
  value: V,
  copied: CopiedMaps,
): ReadonlyMap<K, V> {
  return copyOnce(map, copied).set(key, value);
}

function remove<K extends string, V>(
  map: ReadonlyMap<K, V>,
  key: string,
  kind: string,
  copied: CopiedMaps,
): ReadonlyMap<K, V> {
  if (!map.has(key as K)) invalid(`there is no ${kind} ${key}`);
  const next = copyOnce(map, copied);
  next.delete(key as K);
  return next;
}

function openMoveOf(view: ConfigView, service: string): Move | undefined {
  for (const move of view.moves.values()) {
    if (move.service === service && !move.settled) return move;
  }
  return undefined;
}

function checkService(view: ConfigView, service: Service): void {
  const versions = new Set<string>(service.versions.map((v) => v.id));
  if (versions.size !== service.versions.length) {
    invalid(`service ${service.id} names a version twice`);
  }
  if (!versions.has(service.activeVersion)) {
    invalid(`service ${service.id} has no version ${service.activeVersion}`);
  }
  const active = service.versions.find((v) => v.id === service.activeVersion)!;
  if (active.withdrawn) invalid(`the active version of service ${service.id} is withdrawn`);
  const move = openMoveOf(view, service.id);
  if (move !== undefined) {
    if (!versions.has(move.from) || !versions.has(move.to)) {
      invalid(`move ${move.id} of service ${service.id} is open and needs both of its versions`);
    }
    if (view.services.get(service.id)!.activeVersion !== service.activeVersion) {
      invalid(`move ${move.id} is open; the active version changes when it ends`);
    }
  }
  for (const e of view.endpoints.values()) {
    if (e.service === service.id && !versions.has(e.version)) {
      invalid(`endpoint ${e.id} runs version ${e.version}, which service ${service.id} lacks`);
    }
  }
}

function checkAccount(view: ConfigView, account: Account): void {
  for (const hash of account.keyHashes) {
    const other = view.accountsByKeyHash.get(hash);
    if (other !== undefined && other.id !== account.id) {
      invalid(`a key of account ${account.id} belongs to account ${other.id}`);
    }
  }
}

function requireVersion(view: ConfigView, service: ServiceId, version: VersionId): void {
  const found = view.services.get(service);
  if (found === undefined) invalid(`there is no service ${service}`);
  if (!found.versions.some((v) => v.id === version)) {
    invalid(`service ${service} has no version ${version}`);
  }
}

function withAccount(
  view: ConfigView,
  before: Account | undefined,
  after: Account | null,
  copied: CopiedMaps,
): ConfigView {
  const keys = copyOnce(view.accountsByKeyHash, copied);
  for (const hash of before?.keyHashes ?? []) keys.delete(hash);
  for (const hash of after?.keyHashes ?? []) keys.set(hash, after!);
  const accounts = after === null
    ? remove(view.accounts, before!.id, "client account", copied)
    : put(view.accounts, after.id, after, copied);
  return { ...view, accounts, accountsByKeyHash: keys };
}

function removeAccount(view: ConfigView, id: string, copied: CopiedMaps): ConfigView {
  const before = view.accounts.get(id as Account["id"]);
  if (before === undefined) invalid(`there is no client account ${id}`);
  return withAccount(view, before, null, copied);
}

function requireOpen(view: ConfigView, id: MoveId): Move {
  const move = view.moves.get(id);
  if (move === undefined) invalid(`there is no move ${id}`);
  if (move.state !== "open") invalid(`move ${id} is ${move.state}`);
  return move;
}

function endMove(
  view: ConfigView,
  move: Move,
  end: Pick<Move, "state" | "reason" | "settled">,
  copied: CopiedMaps,
): ConfigView {
  const service = view.services.get(move.service);
  const share = end.state === "finished" ? 1 : 0;
  const moves = put(view.moves, move.id, { ...move, ...end, share }, copied);
  if (service === undefined) return { ...view, moves };
  const activeVersion = end.state === "finished" ? move.to : move.from;
  return {
    ...view,
    moves,
    services: put(view.services, service.id, { ...service, activeVersion }, copied),
  };
}

function openMove(view: ConfigView, move: Move, copied: CopiedMaps): ConfigView {
  if (view.moves.has(move.id)) invalid(`there is already a move ${move.id}`);
  requireVersion(view, move.service, move.from);
  requireVersion(view, move.service, move.to);
  const service = view.services.get(move.service)!;
  const other = openMoveOf(view, move.service);
  if (other !== undefined) invalid(`move ${other.id} of service ${move.service} has not ended`);
  if (move.from === move.to) invalid(`move ${move.id} goes from ${move.from} to itself`);
  if (service.activeVersion !== move.from) {
    invalid(`service ${service.id} is at version ${service.activeVersion}, not ${move.from}`);
  }
  if (service.versions.find((v) => v.id === move.to)!.withdrawn) {
    invalid(`version ${move.to} is withdrawn`);
  }
  if (move.deadlineMs <= move.startMs) invalid(`move ${move.id} ends before it starts`);
  if (move.state !== "open" || move.settled) invalid(`a new move must be open`);
  const moves = withoutOldMoves(view.moves, move.service, copied);
  return { ...view, moves: put(moves, move.id, move, copied) };
}

/** Removes the oldest ended moves of a service. The log still has their history. */
function withoutOldMoves(
  moves: ConfigView["moves"],
  service: ServiceId,
  copied: CopiedMaps,
): ConfigView["moves"] {
  const ended = [...moves.values()].filter((m) => m.service === service);
  let next = moves;
  for (const move of ended.slice(0, Math.max(0, ended.length - MAX_MOVES_PER_SERVICE + 1))) {
    next = remove(next, move.id, "move", copied);
  }
  return next;
}

function setDataCentreState(
  view: ConfigView,
  change: { id: DataCentreId; state: "in" | "out" | "returning"; atMs: number },
  copied: CopiedMaps,
): ConfigView {
  const dc = view.dataCentres.get(change.id);
  if (dc === undefined) invalid(`there is no data centre ${change.id}`);
  if (change.state === "returning" && dc.state === "in") {
    invalid(`data centre ${change.id} is in already`);
  }
  const next = { ...dc, state: change.state, sinceMs: change.atMs };
  return { ...view, dataCentres: put(view.dataCentres, dc.id, next, copied) };
}

/**
 * Applies several changes in order, all or none. The given view is not modified.
 *
 * @throws WpFailure of type `invalid_change` when a change is not valid after the ones before it.
 */
export function applyChanges(view: ConfigView, changes: readonly Change[]): ConfigView {
  const copied: CopiedMaps = new WeakSet();
  let next = view;
  for (const change of changes) next = applyChange(next, change, copied);
  return next;
}

/**
 * Applies one change and returns the new view with the same revision. The given view is not modified. Raises
 * `invalid_change` when the change is not valid for the view.
 *
 * @example
 * ```ts
 * const next = applyChange(view, { type: "remove_account", id: "museum-shop" });
 * ```
 */
export function applyChange(
  view: ConfigView,
  change: Change,
  copied: CopiedMaps = new WeakSet(),
): ConfigView {
  switch (change.type) {
    case "put_service":
      checkService(view, change.service);
      return { ...view, services: put(view.services, change.service.id, change.service, copied) };
    case "remove_service":
      for (const e of view.endpoints.values()) {
        if (e.service === change.id) invalid(`endpoint ${e.id} serves ${change.id}`);
      }
      if (openMoveOf(view, change.id)) invalid(`a move of service ${change.id} has not ended`);
      return { ...view, services: remove(view.services, change.id, "service", copied) };
    case "put_account":
      checkAccount(view, change.account);
      return withAccount(view, view.accounts.get(change.account.id), change.account, copied);
    case "remove_account":
      return removeAccount(view, change.id, copied);
    case "put_endpoint":
      requireVersion(view, change.endpoint.service, change.endpoint.version);
      return {
        ...view,
        endpoints: put(view.endpoints, change.endpoint.id, change.endpoint, copied),
      };
    case "remove_endpoint":
      return { ...view, endpoints: remove(view.endpoints, change.id, "endpoint", copied) };
    case "put_data_centre":
      return {
        ...view,
        dataCentres: put(view.dataCentres, change.dataCentre.id, change.dataCentre, copied),
      };
    case "remove_data_centre": {
      const dc = [...view.dataCentres.values()].find((d) => d.id === change.id);
      if (dc !== undefined && dc.state !== "out") invalid(`take data centre ${dc.id} out first`);
      return { ...view, dataCentres: remove(view.dataCentres, change.id, "data centre", copied) };
    }
    case "set_data_centre_state":
      return setDataCentreState(view, change, copied);
    case "open_move":
      return openMove(view, change.move, copied);
    case "advance_move": {
      const move = requireOpen(view, change.id);
      return { ...view, moves: put(view.moves, move.id, { ...move, share: change.share }, copied) };
    }
    case "finish_move":
      return endMove(view, requireOpen(view, change.id), {
        state: "finished",
        reason: change.reason,
        settled: false,
      }, copied);
    case "take_back_move":
      return endMove(view, requireOpen(view, change.id), {
        state: "taken_back",
        reason: change.reason,
        settled: true,
      }, copied);
    case "settle_move": {
      const move = view.moves.get(change.id);
      if (move === undefined) invalid(`there is no move ${change.id}`);
      if (move.settled) invalid(`move ${change.id} is settled already`);
      return endMove(
        view,
        move,
        { state: change.outcome, reason: change.reason, settled: true },
        copied,
      );
    }
  }
}
