/**
 * The world holds the state of a process as tables, with systems that run over them on each tick and typed commands.
 * Writes are made inside an update, which is either committed or rolled back completely.
 *
 * @module
 */
import { type Clock, SystemClock, type Undo } from "./clock.ts";
import { raise } from "./errors.ts";
import { type Journal, Table } from "./table.ts";

/** A typed key of a command whose payload is `P`. */
export interface CommandKey<P> {
  readonly name: string;
  /** Carries the payload type; never set at run time. */
  readonly payload?: P;
}

/** Creates a command key, for example `const ADD = createCommand<{ id: string }>("add")`. */
export function createCommand<P>(name: string): CommandKey<P> {
  return { name };
}

/** Runs once per tick, inside that tick's update. */
export type System = (nowMs: number) => void;
/** Handles a command inside an update. Returns true to skip the handlers that were registered before it. */
export type CommandHandler<P> = (payload: P, nowMs: number) => boolean | void;
/** Returns a message if the state violates the invariant, otherwise `null`. */
export type Invariant = () => string | null;

/** Options of {@link World}. */
export interface WorldOptions {
  readonly clock?: Clock;
  /** Interval between ticks in milliseconds. */
  readonly tickMs?: number;
}

/**
 * Tables, systems and commands of one process.
 *
 * @example
 * ```ts
 * const world = new World({ tickMs: 100 });
 * const hosts = world.registerTable<HostId, { live: boolean }>("hosts");
 * world.update(() => hosts.table.set(hostId("tema-01"), { live: true }));
 * const stop = world.start();
 * ```
 */
export class World {
  readonly clock: Clock;
  readonly tickMs: number;
  readonly #tables = new Map<string, Table<string, unknown>>();
  readonly #systems = new Map<string, System>();
  readonly #handlers = new Map<string, CommandHandler<unknown>[]>();
  readonly #invariants = new Map<string, Invariant>();
  #undos: (() => void)[] | null = null;
  #listeners: (() => void)[] = [];

  constructor({ clock = new SystemClock(), tickMs = 50 }: WorldOptions = {}) {
    this.clock = clock;
    this.tickMs = tickMs;
  }

  /** Adds a table; `undo` removes it again. */
  registerTable<Id extends string, Row>(name: string): { table: Table<Id, Row>; undo: Undo } {
    this.#assertUnregistered(this.#tables, name);
    const table = new Table<Id, Row>(name, () => this.#journal());
    this.#tables.set(name, table as unknown as Table<string, unknown>);
    return { table, undo: () => void this.#tables.delete(name) };
  }

  /** Adds a system; systems run in the order of registration. */
  registerSystem(name: string, system: System): Undo {
    this.#assertUnregistered(this.#systems, name);
    this.#systems.set(name, system);
    return () => void this.#systems.delete(name);
  }

  /** Adds an invariant, which is checked before each commit. */
  registerInvariant(name: string, invariant: Invariant): Undo {
    this.#assertUnregistered(this.#invariants, name);
    this.#invariants.set(name, invariant);
    return () => void this.#invariants.delete(name);
  }

  /** Adds a handler of a command. The handler that was added last runs first. */
  registerCommand<P>(key: CommandKey<P>, handler: CommandHandler<P>): Undo {
    const handlers = this.#handlers.get(key.name) ?? [];
    const untyped = handler as CommandHandler<unknown>;
    handlers.unshift(untyped);
    this.#handlers.set(key.name, handlers);
    return () => {
      const index = handlers.indexOf(untyped);
      if (index >= 0) handlers.splice(index, 1);
    };
  }

  /** Adds a listener that is called after each commit. */
  registerListener(listener: () => void): Undo {
    this.#listeners = [...this.#listeners, listener];
    return () => {
      this.#listeners = this.#listeners.filter((l) => l !== listener);
    };
  }

  /** Runs a command's handlers in one update. */
  dispatch<P>(key: CommandKey<P>, payload: P): void {
    const handlers = this.#handlers.get(key.name);
    if (handlers === undefined || handlers.length === 0) {
      raise({ type: "unknown_command", message: `no handler for command ${key.name}` });
    }
    this.update((nowMs) => {
      for (const handler of [...handlers]) {
        if (handler(payload, nowMs) === true) return;
      }
    });
  }

  /**
   * Runs `fn` and commits its writes. If `fn` throws or an invariant is violated, all writes are rolled back. An update
   * inside another update becomes part of the outer one.
   */
  update<R>(fn: (nowMs: number) => R): R {
    const nowMs = this.clock.now();
    if (this.#undos !== null) return fn(nowMs);
    const undos: (() => void)[] = [];
    this.#undos = undos;
    let result: R;
    try {
      result = fn(nowMs);
      this.#checkInvariants();
    } catch (e) {
      for (const undo of undos.reverse()) undo();
      throw e;
    } finally {
      this.#undos = null;
    }
    for (const listener of this.#listeners) listener();
    return result;
  }

  /** Runs every system once, in one update. */
  tick(): void {
    this.update((nowMs) => {
      for (const system of this.#systems.values()) system(nowMs);
    });
  }

  /** Ticks every `tickMs` until the returned function is called. */
  start(): Undo {
    return this.clock.setRepeating(this.tickMs, () => this.tick());
  }

  /** Returns all tables as plain objects, for snapshots. */
  dump(): Record<string, Record<string, unknown>> {
    const out: Record<string, Record<string, unknown>> = {};
    for (const [name, table] of this.#tables) out[name] = Object.fromEntries(table.entries());
    return out;
  }

  #journal(): Journal | null {
    const undos = this.#undos;
    return undos === null ? null : { record: (undo) => void undos.push(undo) };
  }

  #checkInvariants(): void {
    for (const [name, invariant] of this.#invariants) {
      const message = invariant();
      if (message !== null) raise({ type: "invariant", message: `${name}: ${message}` });
    }
  }

  #assertUnregistered(map: ReadonlyMap<string, unknown>, name: string): void {
    if (map.has(name)) {
      raise({ type: "duplicate_registration", message: `${name} is already registered` });
    }
  }
}
