/**
 * Claims of idempotency keys in the object store: a call that may not be repeated runs at most once for each key.
 *
 * @module
 */
import { createHash, randomBytes } from "node:crypto";
import {
  type AccountId,
  type Clock,
  type Refusal,
  refuse,
  toWpError,
  type WpError,
} from "@wisteriapick/core";
import type { ObjectStore, StoredObject } from "@wisteriapick/clients";
import { z } from "zod";
import type { HeaderList } from "./http_headers.ts";

/** Largest answer that is kept for replay. */
export const MAX_REPLAY_BYTES = 65_536;

/** An answer that was given under a key. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
}

const RecordSchema = z.object({
  digest: z.string(),
  nonce: z.string(),
  /** Unix ms of the entry that wrote the claim. */
  createdMs: z.number(),
  state: z.enum(["open", "done", "too_large"]),
  status: z.number().optional(),
  headers: z.array(z.tuple([z.string(), z.string()])).optional(),
  body: z.string().optional(),
});

type ClaimRecord = z.output<typeof RecordSchema>;

/** A claim that this process holds. */
export interface Claim {
  readonly key: string;
  readonly version: number;
  readonly record: ClaimRecord;
}

/** What a claim led to. */
export type ClaimResult =
  | { readonly type: "claimed"; readonly claim: Claim }
  | { readonly type: "replay"; readonly answer: StoredAnswer };

/** Options of {@link IdempotencyClaims}. */
export interface IdempotencyOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Claims a second and in a burst; two store writes each. A function may follow the number of entries. */
  readonly claimsPerSecond?: number | (() => number);
  readonly burst?: number;
  /** Age after which a key may be used anew. */
  readonly retentionMs?: number;
  /** Tries of one store call whose outcome is unknown. */
  readonly maxTries?: number;
  readonly retryMs?: number;
  readonly makeNonce?: () => string;
}

const DAY_MS = 86_400_000;
/** Few enough that a sweep leaves most of the store's writes to others. */
const SWEEP_LIMIT = 100;

/** Digest of the content of a call, which a key must not be used twice with. */
export function contentDigest(method: string, path: string, body: Uint8Array): string {
  const hash = createHash("sha256").update(`${method}\0${path}\0`).update(body);
  return hash.digest("base64url");
}

/** The object under which a key is claimed. */
export function claimKey(account: AccountId, idempotencyKey: string): string {
  return `idempotency/${account}/${createHash("sha256").update(idempotencyKey).digest("hex")}`;
}

/**
 * Claims, completes and releases keys.
 *
 * @example
 * ```ts
 * const res = await claims.claim(claimKey(account, key), contentDigest("POST", "/orders", body));
 * if (res.type === "claimed") await claims.complete(res.claim, answer);
 * ```
 */
export class IdempotencyClaims {
  readonly #store: ObjectStore;
  readonly #clock: Clock;
  readonly #rate: () => number;
  readonly #burst: number;
  readonly #retentionMs: number;
  readonly #maxTries: number;
  readonly #retryMs: number;
  readonly #makeNonce: () => string;
  #allowance: number;
  #refilledMs: number;

  constructor(options: IdempotencyOptions) {
    this.#store = options.store;
    this.#clock = options.clock;
    const { claimsPerSecond = 10 } = options;
    this.#rate = typeof claimsPerSecond === "number" ? () => claimsPerSecond : claimsPerSecond;
    this.#burst = options.burst ?? 20;
    this.#retentionMs = options.retentionMs ?? DAY_MS;
    this.#maxTries = options.maxTries ?? 3;
    this.#retryMs = options.retryMs ?? 50;
    this.#makeNonce = options.makeNonce ?? (() => randomBytes(12).toString("base64url"));
    this.#allowance = this.#burst;
    this.#refilledMs = options.clock.now();
  }

  /** Claims a key, or says what became of it. Every refusal of this function means that nothing was run by it. */
  async claim(key: string, digest: string): Promise<ClaimResult> {
    this.#takeRate();
    const record: ClaimRecord = {
      digest,
      nonce: this.#makeNonce(),
      createdMs: this.#clock.wall(),
      state: "open",
    };
    try {
      return await this.#claim(key, record);
    } catch (e) {
      const err = toWpError(e);
      if (err.type === "refused") throw e;
      // The write may have taken effect; a claim of ours must not block the caller's next try.
      void this.#releaseByNonce(key, record.nonce);
      refuse(unavailable(err));
    }
  }

  /** Stores the answer of a claimed call. Failing leaves the claim open, which is safe. */
  async complete(claim: Claim, answer: StoredAnswer | null): Promise<void> {
    const done: ClaimRecord = answer === null ? { ...claim.record, state: "too_large" } : {
      ...claim.record,
      state: "done",
      status: answer.status,
      headers: answer.headers.map(([name, value]) => [name, value]),
      body: Buffer.from(answer.body).toString("base64"),
    };
    await this.#retry(() => this.#store.put(claim.key, encode(done), { ifVersion: claim.version }));
  }

  /** Removes the claim of a call that is proved not to have run. */
  async release(claim: Claim): Promise<void> {
    await this.#retry(() => this.#store.delete(claim.key, { ifVersion: claim.version }));
  }

  /**
   * Deletes keys that are past their retention, at most `limit` at a time. To be called by one process of the
   * system, under a lease; `after` goes on where the last call stopped. Returns that place, or `null` at the end.
   */
  async sweep(
    { after, limit = SWEEP_LIMIT }: { after?: string; limit?: number } = {},
  ): Promise<string | null> {
    const { objects } = await this.#store.list("idempotency/", { after, limit });
    for (const stored of objects) {
      if (!this.#isOld(decode(stored.value).createdMs)) continue;
      await this.#retry(() => this.#store.delete(stored.key, { ifVersion: stored.version }));
    }
    return objects.length < limit ? null : objects.at(-1)!.key;
  }

  #isOld(createdMs: number): boolean {
    return this.#clock.wall() - createdMs > this.#retentionMs;
  }

  async #claim(key: string, record: ClaimRecord): Promise<ClaimResult> {
    let ifVersion = 0;
    for (let tries = 1;; tries++) {
      try {
        const version = await this.#store.put(key, encode(record), { ifVersion });
        return { type: "claimed", claim: { key, version, record } };
      } catch (e) {
        const err = toWpError(e);
        if (err.type !== "store_conflict" && err.type !== "store_outcome_unknown") throw e;
        const stored = await this.#store.get(key);
        if (stored !== null) {
          const found = this.#judge(stored, record);
          if (found !== null) return found;
        }
        ifVersion = stored?.version ?? 0;
        if (tries >= this.#maxTries) throw e;
      }
    }
  }

  /** Reads what is stored under the key; `null` where it is old enough to be replaced. */
  #judge(stored: StoredObject, mine: ClaimRecord): ClaimResult | null {
    const { key, version } = stored;
    const record = decode(stored.value);
    // The answer to this process's own write was lost.
    if (record.nonce === mine.nonce) return { type: "claimed", claim: { key, version, record } };
    if (this.#isOld(record.createdMs)) return null;
    if (record.digest !== mine.digest) refuse(MISMATCH);
    if (record.state === "open") refuse(IN_PROGRESS);
    if (record.state === "too_large") refuse(TOO_LARGE);
    const body = Buffer.from(record.body ?? "", "base64");
    const answer = { status: record.status ?? 200, headers: record.headers ?? [], body };
    return { type: "replay", answer };
  }

  async #releaseByNonce(key: string, nonce: string): Promise<void> {
    await this.#retry(async () => {
      const stored = await this.#store.get(key);
      if (stored === null || decode(stored.value).nonce !== nonce) return;
      await this.#store.delete(key, { ifVersion: stored.version });
    });
  }

  /** Tries a write a few times. A conflict means that an earlier try took effect or the claim has gone. */
  async #retry(write: () => Promise<unknown>): Promise<void> {
    for (let tries = 1; tries <= this.#maxTries; tries++) {
      try {
        await write();
        return;
      } catch (e) {
        if (toWpError(e).type === "store_conflict") return;
        await this.#clock.sleep(this.#retryMs * 2 ** tries);
      }
    }
  }

  #takeRate(): void {
    const now = this.#clock.now();
    const refill = (now - this.#refilledMs) / 1_000 * this.#rate();
    this.#allowance = Math.min(this.#burst, this.#allowance + refill);
    this.#refilledMs = now;
    if (this.#allowance >= 1) {
      this.#allowance--;
      return;
    }
    const message = "too many new idempotency keys at this entry";
    const retryAfterMs = 1_000 / this.#rate();
    refuse({ type: "idempotency_unavailable", message, notRun: true, retryAfterMs });
  }
}

const MISMATCH: Refusal = {
  type: "idempotency_mismatch",
  message: "the idempotency key was used with other content",
  notRun: true,
};

const IN_PROGRESS: Refusal = {
  type: "idempotency_in_progress",
  message: "a call with this idempotency key is in progress or its outcome is unknown",
  notRun: "unknown",
};

const TOO_LARGE: Refusal = {
  type: "idempotency_in_progress",
  message: "the call with this idempotency key was answered, but its answer was too large to keep",
  notRun: false,
};

function unavailable(err: WpError): Refusal {
  const limited = err.type === "rate_limited";
  return {
    type: "idempotency_unavailable",
    message: "the store of idempotency keys cannot be reached; the call was not run",
    notRun: true,
    retryAfterMs: limited ? err.retryAfterMs : 2_000,
  };
}

function encode(record: ClaimRecord): Uint8Array {
  return Buffer.from(JSON.stringify(record));
}

function decode(value: Uint8Array): ClaimRecord {
  return RecordSchema.parse(JSON.parse(Buffer.from(value).toString("utf8")));
}
