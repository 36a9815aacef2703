/**
 * Signed ids of server-sent events. `<payload>.<signature>.<offset>` identifies one token of one generation.
 *
 * @module
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import {
  type AccountId,
  type DataCentreId,
  type GenerationId,
  type Refusal,
  type ServiceId,
  WpFailure,
} from "@wisteriapick/core";
import { z } from "zod";

/** The side that holds a generation, and the encoding of its response. */
export interface ResumeRef {
  readonly dataCentre: DataCentreId;
  /** Link address of the side. */
  readonly side: string;
  readonly gen: GenerationId;
  readonly account: AccountId;
  readonly service: ServiceId;
  readonly format: "chat" | "text";
  /** Unix seconds in the `created` field of the response's chunks. */
  readonly created: number;
  readonly includeUsage: boolean;
  /** Unix time in milliseconds after which the id is refused. */
  readonly expiresMs: number;
}

/** A verified id: the caller has received the token at `offset`. */
export interface ResumePoint {
  readonly ref: ResumeRef;
  readonly signed: string;
  readonly offset: number;
}

const PayloadSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.enum(["chat", "text"]),
  z.number(),
  z.boolean(),
  z.number(),
]);

const MAC_BYTES = 16;
const MAX_ID_LENGTH = 2_048;

function refuseResume(
  type: "resume_forbidden" | "resume_expired" | "invalid_request",
  message: string,
): never {
  const refusal: Refusal = { type, message, notRun: true };
  throw new WpFailure({ type: "refused", message, refusal });
}

/**
 * Signs and verifies resume references with the cluster key.
 *
 * @example
 * ```ts
 * const signer = new ResumeSigner(key);
 * const point = signer.verify(`${signer.sign(ref)}.41`, { account, wallMs: Date.now() });
 * ```
 */
export class ResumeSigner {
  readonly #key: Uint8Array;

  constructor(key: Uint8Array | string) {
    this.#key = typeof key === "string" ? Buffer.from(key) : key;
  }

  /** Signs a reference. An event id is the result followed by `.<offset>`. */
  sign(ref: ResumeRef): string {
    const fields = [
      ref.dataCentre,
      ref.side,
      ref.gen,
      ref.account,
      ref.service,
      ref.format,
      ref.created,
      ref.includeUsage,
      ref.expiresMs,
    ];
    const payload = Buffer.from(JSON.stringify(fields)).toString("base64url");
    return `${payload}.${this.#mac(payload).toString("base64url")}`;
  }

  /** Verifies an id. Refuses a wrong signature, an id of another account and an expired id. */
  verify(id: string, options: { account: AccountId; wallMs: number }): ResumePoint {
    const parts = id.length > MAX_ID_LENGTH ? [] : id.split(".");
    const offset = Number(parts[2] ?? NaN);
    if (parts.length !== 3 || !Number.isSafeInteger(offset) || offset < -1) {
      refuseResume("invalid_request", "Last-Event-ID is not an event id of this service");
    }
    const [payload, mac] = parts as [string, string, string];
    const given = Buffer.from(mac, "base64url");
    const expected = this.#mac(payload);
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
      refuseResume("resume_forbidden", "the signature of Last-Event-ID is wrong");
    }
    const ref = decodeRef(payload);
    if (ref.account !== options.account) {
      refuseResume("resume_forbidden", "Last-Event-ID belongs to another client account");
    }
    if (options.wallMs > ref.expiresMs) {
      refuseResume("resume_expired", "Last-Event-ID has expired");
    }
    return { ref, signed: `${payload}.${mac}`, offset };
  }

  #mac(payload: string): Buffer {
    const hmac = createHmac("sha256", this.#key).update("resume\0").update(payload);
    return hmac.digest().subarray(0, MAC_BYTES);
  }
}

function decodeRef(payload: string): ResumeRef {
  const text = Buffer.from(payload, "base64url").toString("utf8");
  const f = PayloadSchema.parse(JSON.parse(text));
  return {
    dataCentre: f[0] as DataCentreId,
    side: f[1],
    gen: f[2] as GenerationId,
    account: f[3] as AccountId,
    service: f[4] as ServiceId,
    format: f[5],
    created: f[6],
    includeUsage: f[7],
    expiresMs: f[8],
  };
}
