/**
 * Field types of messages: each encodes a value for the wire and checks a received one. A message body is an array of
 * fields in a fixed order. To stay compatible, new fields are added at the end only, as optional ones.
 *
 * @module
 */
import { WpFailure } from "@wisteriapick/core";

/** Codec of one field. `decode` throws a {@link WpFailure} for a value of the wrong type. */
export interface Field<T> {
  encode(v: T): unknown;
  decode(v: unknown): T;
}

const MAX_ID_LENGTH = 128;

/** Throws a `frame_malformed` error, which closes the link. */
export function malformed(expected: string): never {
  throw new WpFailure({ type: "link", reason: "frame_malformed", message: `expected ${expected}` });
}

function checkedField<T>(expected: string, test: (v: unknown) => boolean): Field<T> {
  return {
    encode: (v) => v,
    decode: (v) => test(v) ? v as T : malformed(expected),
  };
}

/** Any text. */
export const text: Field<string> = checkedField("text", (v) => typeof v === "string");
/** A boolean. */
export const flag: Field<boolean> = checkedField("a boolean", (v) => typeof v === "boolean");
/** A whole number from 0. */
export const count: Field<number> = checkedField(
  "a whole number from 0",
  (v) => Number.isSafeInteger(v) && (v as number) >= 0,
);
/** A finite number. */
export const real: Field<number> = checkedField("a finite number", (v) => Number.isFinite(v));

/**
 * The time since something happened, in milliseconds. A negative one, which names a time to come, counts as 0: what
 * happened later would not replace it.
 */
export const age: Field<number> = {
  encode: (v) => v,
  decode: (v) => Math.max(0, real.decode(v)),
};

/** An id, validated by the given constructor from the core package. */
export function id<T extends string>(make: (s: string) => T): Field<T> {
  return {
    encode: (v) => v,
    decode: (v) => {
      if (typeof v !== "string" || v.length > MAX_ID_LENGTH) return malformed("an id");
      return make(v);
    },
  };
}

/** A counter, validated by the given constructor from the core package. */
export function counter<T extends number>(make: (n: number) => T): Field<T> {
  return {
    encode: (v) => v,
    decode: (v) => typeof v === "number" ? make(v) : malformed("a counter"),
  };
}

/** One of a fixed set of values. */
export function oneOf<T extends string>(values: readonly T[]): Field<T> {
  const allowed = new Set<unknown>(values);
  return checkedField(`one of ${values.length} values`, (v) => allowed.has(v));
}

/** Bytes as a view of the received chunk, without a copy; for data that is forwarded immediately. */
export const bytesView: Field<Uint8Array> = checkedField("bytes", (v) => v instanceof Uint8Array);

/** Bytes copied out of the received chunk; for data that outlives the handling of the message. */
export const bytes: Field<Uint8Array> = {
  encode: (v) => v,
  decode: (v) => v instanceof Uint8Array ? Uint8Array.from(v) : malformed("bytes"),
};

/** A list whose items all have one field type. */
export function list<T>(item: Field<T>): Field<readonly T[]> {
  return {
    encode: (v) => v.map((x) => item.encode(x)),
    decode: (v) => {
      if (!Array.isArray(v)) return malformed("a list");
      for (let i = 0; i < v.length; i++) v[i] = item.decode(v[i]);
      return v as T[];
    },
  };
}

/** A pair of texts, such as a header's name and value. */
export const textPair: Field<readonly [string, string]> = checkedField(
  "a pair of texts",
  (v) => Array.isArray(v) && v.length === 2 && typeof v[0] === "string" && typeof v[1] === "string",
);

/** A field that may be absent. */
export function optional<T>(field: Field<T>): Field<T | undefined> {
  return {
    encode: (v) => v === undefined ? null : field.encode(v),
    decode: (v) => v === undefined || v === null ? undefined : field.decode(v),
  };
}

/** A field that may be `null`. */
export function nullable<T>(field: Field<T>): Field<T | null> {
  return {
    encode: (v) => v === null ? null : field.encode(v),
    decode: (v) => v === null || v === undefined ? null : field.decode(v),
  };
}

/** The field type of every property of `T`, in wire order. */
export type Shape<T> = { readonly [K in keyof T]-?: Field<T[K]> };

/** An object, encoded as an array of its fields. Surplus fields, from newer protocol versions, are ignored. */
export function record<T extends object>(shape: Shape<T>): Field<T> {
  const keys = Object.keys(shape) as (keyof T)[];
  const fields = keys.map((key) => shape[key]) as Field<unknown>[];
  return {
    encode: (v) => keys.map((key, i) => fields[i]!.encode(v[key])),
    decode: (v) => {
      if (!Array.isArray(v)) return malformed("a record");
      const out = {} as T;
      for (let i = 0; i < keys.length; i++) {
        const value = fields[i]!.decode(v[i]);
        if (value !== undefined) out[keys[i]!] = value as T[keyof T];
      }
      return out;
    },
  };
}
