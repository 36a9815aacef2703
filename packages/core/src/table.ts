/**
 * Tables of entities. Rows are never modified in place: they are replaced, and only inside an update.
 *
 * @module
 */
import { raise } from "./errors.ts";

/** Undo log of an update, by which all of its writes can be rolled back. */
export interface Journal {
  record(undo: () => void): void;
}

/** Returns the journal of the update in progress, or `null` outside of an update. */
export type JournalSource = () => Journal | null;

/** Read-only access to a table. */
export interface TableView<Id extends string, Row> {
  readonly name: string;
  readonly size: number;
  get(id: Id): Row | undefined;
  has(id: Id): boolean;
  ids(): IterableIterator<Id>;
  rows(): IterableIterator<Row>;
  entries(): IterableIterator<[Id, Row]>;
}

/** A table of rows keyed by id. */
export class Table<Id extends string, Row> implements TableView<Id, Row> {
  readonly name: string;
  readonly #rows = new Map<Id, Row>();
  readonly #journal: JournalSource;

  constructor(name: string, journal: JournalSource) {
    this.name = name;
    this.#journal = journal;
  }

  get size(): number {
    return this.#rows.size;
  }

  get(id: Id): Row | undefined {
    return this.#rows.get(id);
  }

  has(id: Id): boolean {
    return this.#rows.has(id);
  }

  ids(): IterableIterator<Id> {
    return this.#rows.keys();
  }

  rows(): IterableIterator<Row> {
    return this.#rows.values();
  }

  entries(): IterableIterator<[Id, Row]> {
    return this.#rows.entries();
  }

  /** Inserts or replaces a row. */
  set(id: Id, row: Row): void {
    this.#recordPrevious(id);
    this.#rows.set(id, row);
  }

  /** Replaces some properties of an existing row. */
  patch(id: Id, part: Partial<Row>): void {
    const row = this.#rows.get(id);
    if (row === undefined) {
      raise({ type: "invariant", message: `table ${this.name} has no row ${id}` });
    }
    this.set(id, { ...row, ...part });
  }

  /** Removes a row; returns whether it existed. */
  delete(id: Id): boolean {
    if (!this.#rows.has(id)) return false;
    this.#recordPrevious(id);
    return this.#rows.delete(id);
  }

  #recordPrevious(id: Id): void {
    const journal = this.#journal();
    if (journal === null) {
      raise({ type: "invariant", message: `table ${this.name} was written outside an update` });
    }
    const existed = this.#rows.has(id);
    const previous = this.#rows.get(id);
    journal.record(() => {
      if (existed) this.#rows.set(id, previous as Row);
      else this.#rows.delete(id);
    });
  }
}
