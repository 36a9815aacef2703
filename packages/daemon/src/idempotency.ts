/**
 * Claims idempotency keys in the object store, so that a call that may not be repeated runs at most once per key.
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

/** Largest response that is stored for replay. */
export const MAX_REPLAY_BYTES = 65_536;

/** The response to a call, as stored under its key. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
}

const RecordSchema = z.object({
  digest: z.string(),
  nonce: z.string(),
  /** Unix time in ms, by the clock of the entry that wrote the claim. */
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

/** Outcome of {@link IdempotencyClaims.claim}. */
export type ClaimResult =
  | { readonly type: "claimed"; readonly claim: Claim }
  | { readonly type: "replay"; readonly response: StoredResponse };

/** Options of {@link IdempotencyClaims}. */
export interface IdempotencyOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Claims per second, with two store writes each. A function can adapt to the number of entries. */
  readonly claimsPerSecond?: number | (() => number);
  /** Claims that may be made at once. */
  readonly burst?: number;
  /** Age after which a key may be used again. */
  readonly retentionMs?: number;
  /** Attempts of a store call whose outcome is unknown. */
  readonly maxAttempts?: number;
  readonly retryDelayMs?: number;
  readonly makeNonce?: () => string;
}

const DAY_MS = 86_400_000;
/** Keys examined by one call of the sweep; few, so that most of the store's write rate is left to others. */
const SWEEP_LIMIT = 100;

/** Digest of a call's content; a key must not be used again with other content. */
export function contentDigest(method: string, path: string, body: Uint8Array): string {
  const hash = createHash("sha256").update(`${method}\0${path}\0`).update(body);
  return hash.digest("base64url");
}

/** Object key under which an idempotency key is claimed. */
export function claimKey(account: AccountId, idempotencyKey: string): string {
  return `idempotency/${account}/${createHash("sha256").update(idempotencyKey).digest("hex")}`;
}

/**
 * Claims, completes, releases and sweeps idempotency keys.
 *
 * @example
 * ```ts
 * const res = await claims.claim(claimKey(account, key), contentDigest("POST", "/orders", body));
 * if (res.type === "claimed") await claims.complete(res.claim, response);
 * ```
 */
export class IdempotencyClaims {
  readonly #store: ObjectStore;
  readonly #clock: Clock;
  readonly #rate: () => number;
  readonly #burst: number;
  readonly #retentionMs: number;
  readonly #maxAttempts: number;
  readonly #retryDelayMs: number;
  readonly #makeNonce: () => string;
  #availableClaims: number;
  #refilledMs: number;

  constructor(options: IdempotencyOptions) {
    this.#store = options.store;
    this.#clock = options.clock;
    const { claimsPerSecond = 10 } = options;
    this.#rate = typeof claimsPerSecond === "number" ? () => claimsPerSecond : claimsPerSecond;
    this.#burst = options.burst ?? 20;
    this.#retentionMs = options.retentionMs ?? DAY_MS;
    this.#maxAttempts = options.maxAttempts ?? 3;
    this.#retryDelayMs = options.retryDelayMs ?? 50;
    this.#makeNonce = options.makeNonce ?? (() => randomBytes(12).toString("base64url"));
    this.#availableClaims = this.#burst;
    this.#refilledMs = options.clock.now();
  }

  /** Claims a key, or returns the stored response of its call. A refusal means that this call has not run anything. */
  async claim(key: string, digest: string): Promise<ClaimResult> {
    this.#consumeRate();
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
      // The write may have taken effect; this process's own claim must not block the caller's next attempt.
      void this.#releaseByNonce(key, record.nonce);
      refuse(makeUnavailableRefusal(err));
    }
  }

  /** Stores the response of a claimed call. On failure the claim stays open, which is safe. */
  async complete(claim: Claim, response: StoredResponse | null): Promise<void> {
    const completed: ClaimRecord = response === null ? { ...claim.record, state: "too_large" } : {
      ...claim.record,
      state: "done",
      status: response.status,
      headers: response.headers.map(([name, value]) => [name, value]),
      body: Buffer.from(response.body).toString("base64"),
    };
    await this.#retry(() =>
      this.#store.put(claim.key, encode(completed), { ifVersion: claim.version })
    );
  }

  /** Removes the claim of a call that has provably not run. */
  async release(claim: Claim): Promise<void> {
    await this.#retry(() => this.#store.delete(claim.key, { ifVersion: claim.version }));
  }

  /**
   * Examines at most `limit` keys and deletes those that are past their retention. Must run in one process of the
   * system at a time, under a lease. Returns the last key examined, to be passed as `after` of the next call, or
   * `null` at the end.
   */
  async sweep(
    { after, limit = SWEEP_LIMIT }: { after?: string; limit?: number } = {},
  ): Promise<string | null> {
    const { objects } = await this.#store.list("idempotency/", { after, limit });
    for (const stored of objects) {
      if (!this.#isExpired(decode(stored.value).createdMs)) continue;
      await this.#retry(() => this.#store.delete(stored.key, { ifVersion: stored.version }));
    }
    return objects.length < limit ? null : objects.at(-1)!.key;
  }

  #isExpired(createdMs: number): boolean {
    return this.#clock.wall() - createdMs > this.#retentionMs;
  }

  async #claim(key: string, record: ClaimRecord): Promise<ClaimResult> {
    let ifVersion = 0;
    for (let attempt = 1;; attempt++) {
      try {
        const version = await this.#store.put(key, encode(record), { ifVersion });
        return { type: "claimed", claim: { key, version, record } };
      } catch (e) {
        const err = toWpError(e);
        if (err.type !== "store_conflict" && err.type !== "store_outcome_unknown") throw e;
        const stored = await this.#store.get(key);
        if (stored !== null) {
          const result = this.#interpretStored(stored, record);
          if (result !== null) return result;
        }
        ifVersion = stored?.version ?? 0;
        if (attempt >= this.#maxAttempts) throw e;
      }
    }
  }

  /** Interprets what is stored under the key; `null` where it has expired and may be replaced. */
  #interpretStored(stored: StoredObject, own: ClaimRecord): ClaimResult | null {
    const { key, version } = stored;
    const record = decode(stored.value);
    // This is the process's own write, whose response was lost.
    if (record.nonce === own.nonce) return { type: "claimed", claim: { key, version, record } };
    if (this.#isExpired(record.createdMs)) return null;
    if (record.digest !== own.digest) refuse(MISMATCH_REFUSAL);
    if (record.state === "open") refuse(IN_PROGRESS_REFUSAL);
    if (record.state === "too_large") refuse(TOO_LARGE_REFUSAL);
    const body = Buffer.from(record.body ?? "", "base64");
    const response = { status: record.status ?? 200, headers: record.headers ?? [], body };
    return { type: "replay", response };
  }

  async #releaseByNonce(key: string, nonce: string): Promise<void> {
    await this.#retry(async () => {
      const stored = await this.#store.get(key);
      if (stored === null || decode(stored.value).nonce !== nonce) return;
      await this.#store.delete(key, { ifVersion: stored.version });
    });
  }

  /** Attempts a write a few times. A conflict means that an earlier attempt took effect or the claim is gone. */
  async #retry(write: () => Promise<unknown>): Promise<void> {
    for (let attempt = 1; attempt <= this.#maxAttempts; attempt++) {
      try {
        await write();
        return;
      } catch (e) {
        if (toWpError(e).type === "store_conflict") return;
        await this.#clock.sleep(this.#retryDelayMs * 2 ** attempt);
      }
    }
  }

  #consumeRate(): void {
    const now = this.#clock.now();
    const refill = (now - this.#refilledMs) / 1_000 * this.#rate();
    this.#availableClaims = Math.min(this.#burst, this.#availableClaims + refill);
    this.#refilledMs = now;
    if (this.#availableClaims >= 1) {
      this.#availableClaims--;
      return;
    }
    const message = "too many new idempotency keys at this entry";
    const retryAfterMs = 1_000 / this.#rate();
    refuse({ type: "idempotency_unavailable", message, notRun: true, retryAfterMs });
  }
}

const MISMATCH_REFUSAL: Refusal = {
  type: "idempotency_mismatch",
  message: "the idempotency key was used with other content",
  notRun: true,
};

const IN_PROGRESS_REFUSAL: Refusal = {
  type: "idempotency_in_progress",
  message: "a call with this idempotency key is in progress or its outcome is unknown",
  notRun: "unknown",
};

const TOO_LARGE_REFUSAL: Refusal = {
  type: "idempotency_in_progress",
  message: "the call with this idempotency key has ended, but its response was too large to store",
  notRun: false,
};

function makeUnavailableRefusal(err: WpError): Refusal {
  const isRateLimited = err.type === "rate_limited";
  return {
    type: "idempotency_unavailable",
    message: "the store of idempotency keys cannot be reached; the call was not run",
    notRun: true,
    retryAfterMs: isRateLimited ? err.retryAfterMs : 2_000,
  };
}

function encode(record: ClaimRecord): Uint8Array {
  return Buffer.from(JSON.stringify(record));
}

function decode(value: Uint8Array): ClaimRecord {
  return RecordSchema.parse(JSON.parse(Buffer.from(value).toString("utf8")));
}
