/**
 * Follows one generation at its side across broken links, until it ends or the side cannot be reached.
 *
 * @module
 */
import type { Clock, Refusal, RefusalReason } from "@wisteriapick/core";
import type { TokenCursor } from "@wisteriapick/delivery";
import type {
  End,
  EndpointLoad,
  NotRunReply,
  Resume,
  Run,
  SuspectReport,
} from "@wisteriapick/wire";
import { Follow, type FollowResult } from "./entry_generation_stream.ts";
import type { AnswerSink } from "./entry_sinks.ts";
import type { LinkSource } from "./link_source.ts";

/** How a generation ended for this entry. */
export type FollowerResult =
  | { readonly type: "end"; readonly end: End }
  | { readonly type: "not_run"; readonly reply: NotRunReply }
  /** The request never left this process. */
  | { readonly type: "not_sent" }
  | {
    readonly type: "fail";
    readonly refusal: Refusal;
    readonly load?: EndpointLoad;
    readonly suspects?: readonly SuspectReport[];
  }
  /** The side could not be reached within the window. */
  | { readonly type: "lost" }
  | { readonly type: "caller_gone" };

/** Bounds of {@link followGeneration}. */
export interface FollowLimits {
  /** How long a broken generation is asked for again at its side. */
  readonly resumeWindowMs: number;
  /** The same where nothing has been delivered and another endpoint can run it. */
  readonly undeliveredWindowMs: number;
  readonly resumeBackoffMs: number;
  /** Silence on a stream after which the rest is asked for again. */
  readonly silenceMs: number;
}

/** What one generation is followed with. */
export interface FollowOptions {
  readonly clock: Clock;
  readonly links: LinkSource;
  readonly limits: FollowLimits;
  readonly sink: AnswerSink;
  readonly cursor: TokenCursor;
  /** Aborted when the caller is gone. */
  readonly gone: AbortSignal;
  onAdmitted?(load: EndpointLoad): void;
  onTokens?(offset: number, count: number): void;
  /** Called each time the rest is asked for again. */
  onResume?(why: string): void;
}

/** Failures of a resume after which asking again may still help. */
const TRANSIENT: ReadonlySet<RefusalReason> = new Set(["side_not_ready", "not_ready"]);

/** Opens `opening` at the side and resumes it as often as needed. */
export async function followGeneration(
  side: string,
  opening: Run | Resume,
  options: FollowOptions,
): Promise<FollowerResult> {
  const { clock, limits, sink, cursor, gone } = options;
  let sent = opening.kind === "resume";
  let next = opening;
  let brokenSinceMs: number | null = null;
  for (;;) {
    if (gone.aborted) return { type: "caller_gone" };
    const heard = { value: false };
    const follow = await open(side, next, options, heard);
    if (follow === null && !sent) return { type: "not_sent" };
    sent = true;
    const res = follow === null ? null : await settle(follow, options);
    if (gone.aborted) return { type: "caller_gone" };
    if (res !== null && isFinal(res, next)) return res;
    next = { kind: "resume", gen: opening.gen, account: opening.account, offset: cursor.next };
    options.onResume?.(describe(res));
    const now = clock.now();
    // A side that answered is there; only the time without any answer counts.
    if (brokenSinceMs === null || heard.value) brokenSinceMs = now;
    const windowMs = sink.committed ? limits.resumeWindowMs : limits.undeliveredWindowMs;
    if (now - brokenSinceMs >= windowMs) return { type: "lost" };
    await clock.sleep(limits.resumeBackoffMs);
  }
}

type OnceResult = FollowerResult | Exclude<FollowResult, { type: "fail" }>;

function isFinal(res: OnceResult, opening: Run | Resume): res is FollowerResult {
  if (res.type === "broken" || res.type === "detached") return false;
  return !(res.type === "fail" && opening.kind === "resume" && TRANSIENT.has(res.refusal.type));
}

function describe(res: OnceResult | null): string {
  if (res === null) return "connect";
  return res.type === "broken" ? res.why : res.type;
}

/** Opens a stream at the side; `null` where nothing could be sent. */
async function open(
  side: string,
  opening: Run | Resume,
  options: FollowOptions,
  heard: { value: boolean },
): Promise<Watched | null> {
  const { clock, sink, cursor } = options;
  const watched: Watched = { follow: null, heardAtMs: clock.now(), held: false };
  const hear = () => {
    heard.value = true;
    watched.heardAtMs = clock.now();
  };
  try {
    const link = await options.links.get(side);
    watched.heardAtMs = clock.now();
    watched.follow = new Follow(link, opening, cursor, {
      onAdmitted: (load) => {
        hear();
        if (opening.kind === "run") options.onAdmitted?.(load);
      },
      onTokens: (offset, items) => {
        hear();
        sink.tokens(offset, items);
        options.onTokens?.(offset, items.length);
        if (sink.full) void holdBack(watched, options);
      },
    });
    return watched;
  } catch {
    return null;
  }
}

interface Watched {
  follow: Follow | null;
  heardAtMs: number;
  /** The side is kept from sending while the caller is slow. */
  held: boolean;
}

/** Lets a slow caller's tokens wait at the side, not in this process, until the caller reads again. */
async function holdBack(watched: Watched, { sink, clock }: FollowOptions): Promise<void> {
  if (watched.held || watched.follow === null) return;
  watched.held = true;
  watched.follow.pause();
  await sink.drained();
  watched.held = false;
  watched.heardAtMs = clock.now();
  watched.follow.resume();
}

async function settle(watched: Watched, options: FollowOptions): Promise<OnceResult> {
  const { clock, limits, gone } = options;
  const follow = watched.follow!;
  const onGone = () => follow.detach();
  if (gone.aborted) follow.detach();
  gone.addEventListener("abort", onGone, { once: true });
  const undo = clock.setRepeating(limits.silenceMs / 2, () => {
    if (watched.held) return;
    if (clock.now() - watched.heardAtMs >= limits.silenceMs) follow.giveUp("silent");
  });
  const res = await follow.done;
  undo();
  gone.removeEventListener("abort", onGone);
  if (res.type !== "fail") return res;
  const { refusal, load, suspects } = res.fail;
  return { type: "fail", refusal, load, suspects };
}
