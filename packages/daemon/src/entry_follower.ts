/**
 * Follows a generation across broken links until it ends or its side stays unreachable.
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
import { GenerationStream, type GenerationStreamResult } from "./entry_generation_stream.ts";
import type { ResponseSink } from "./entry_sinks.ts";
import type { LinkSource } from "./link_source.ts";
import { SilenceTimer } from "./silence_timer.ts";

/** How a followed generation ended for this entry. */
export type FollowResult =
  | { readonly type: "end"; readonly end: End }
  | { readonly type: "not_run"; readonly reply: NotRunReply }
  /** The request was never sent. */
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

/** Limits of {@link followGeneration}. */
export interface FollowLimits {
  /** How long a resume is retried at a side that does not respond. */
  readonly resumeWindowMs: number;
  /** The same while nothing has been delivered and another endpoint can still run the request. */
  readonly undeliveredWindowMs: number;
  readonly resumeBackoffMs: number;
  /** A stream on which nothing arrives for this long is abandoned and resumed. */
  readonly idleTimeoutMs: number;
}

/** Options of {@link followGeneration}. */
export interface FollowOptions {
  readonly clock: Clock;
  readonly links: LinkSource;
  readonly limits: FollowLimits;
  readonly sink: ResponseSink;
  readonly cursor: TokenCursor;
  /** Aborted when the caller has disconnected. */
  readonly callerSignal: AbortSignal;
  onAdmitted?(load: EndpointLoad): void;
  onTokens?(offset: number, count: number): void;
  /** Called each time before the generation is resumed. */
  onResume?(reason: string): void;
}

/** Failures of a resume after which another one may succeed. */
const TRANSIENT_REASONS: ReadonlySet<RefusalReason> = new Set(["side_not_ready", "not_ready"]);

/** Sends `opening` to the side, and resumes the generation as often as its stream breaks. */
export async function followGeneration(
  side: string,
  opening: Run | Resume,
  options: FollowOptions,
): Promise<FollowResult> {
  const { clock, limits, sink, cursor, callerSignal } = options;
  let isSent = opening.kind === "resume";
  let next = opening;
  let brokenSinceMs: number | null = null;
  for (;;) {
    if (callerSignal.aborted) return { type: "caller_gone" };
    const received = { value: false };
    const opened = await openStream(side, next, options, received);
    if (opened === null && !isSent) return { type: "not_sent" };
    isSent = true;
    const res = opened === null ? null : await waitForResult(opened, options);
    if (callerSignal.aborted) return { type: "caller_gone" };
    if (res !== null && isFinal(res, next)) return res;
    next = { kind: "resume", gen: opening.gen, account: opening.account, offset: cursor.next };
    options.onResume?.(describeBreak(res));
    const now = clock.now();
    // A side that responded is reachable; only the time without any message counts.
    if (brokenSinceMs === null || received.value) brokenSinceMs = now;
    const windowMs = sink.isCommitted ? limits.resumeWindowMs : limits.undeliveredWindowMs;
    if (now - brokenSinceMs >= windowMs) return { type: "lost" };
    await clock.sleep(limits.resumeBackoffMs);
  }
}

type StreamResult = FollowResult | Exclude<GenerationStreamResult, { type: "fail" }>;

function isFinal(res: StreamResult, opening: Run | Resume): res is FollowResult {
  if (res.type === "broken" || res.type === "detached") return false;
  return !(res.type === "fail" && opening.kind === "resume" &&
    TRANSIENT_REASONS.has(res.refusal.type));
}

function describeBreak(res: StreamResult | null): string {
  if (res === null) return "connect";
  return res.type === "broken" ? res.reason : res.type;
}

/** Opens a stream to the side; `null` where nothing could be sent. */
async function openStream(
  side: string,
  opening: Run | Resume,
  options: FollowOptions,
  received: { value: boolean },
): Promise<WatchedStream | null> {
  const { clock, sink, cursor } = options;
  const silence = new SilenceTimer({
    clock,
    idleTimeoutMs: options.limits.idleTimeoutMs,
    onSilent: () => watched.stream?.breakOff("silent"),
  });
  const watched: WatchedStream = {
    stream: null,
    silence,
    isPaused: false,
    hasEnded: false,
  };
  const markReceived = () => {
    received.value = true;
    if (!watched.isPaused) silence.restart();
  };
  try {
    const link = await options.links.get(side);
    watched.stream = new GenerationStream(link, opening, cursor, {
      onAdmitted: (load) => {
        markReceived();
        if (opening.kind === "run") options.onAdmitted?.(load);
      },
      onTokens: (offset, items) => {
        markReceived();
        sink.writeTokens(offset, items);
        options.onTokens?.(offset, items.length);
        if (sink.needsDrain) void pauseUntilDrained(watched, options);
      },
    });
    return watched;
  } catch {
    return null;
  }
}

interface WatchedStream {
  stream: GenerationStream | null;
  readonly silence: SilenceTimer;
  /** Whether the side is held back because the caller is slow. */
  isPaused: boolean;
  hasEnded: boolean;
}

/** Keeps a slow caller's tokens at the side, instead of in this process, until the caller reads again. */
async function pauseUntilDrained(
  watched: WatchedStream,
  { sink }: FollowOptions,
): Promise<void> {
  if (watched.isPaused || watched.stream === null) return;
  watched.isPaused = true;
  watched.stream.pause();
  watched.silence.stop();
  await sink.waitForDrain();
  watched.isPaused = false;
  if (watched.hasEnded) return;
  watched.silence.restart();
  watched.stream.resume();
}

async function waitForResult(
  watched: WatchedStream,
  options: FollowOptions,
): Promise<StreamResult> {
  const { callerSignal } = options;
  const stream = watched.stream!;
  const onCallerGone = () => stream.detach();
  if (callerSignal.aborted) stream.detach();
  callerSignal.addEventListener("abort", onCallerGone, { once: true });
  watched.silence.restart();
  const res = await stream.result;
  watched.hasEnded = true;
  watched.silence.stop();
  callerSignal.removeEventListener("abort", onCallerGone);
  if (res.type !== "fail") return res;
  const { refusal, load, suspects } = res.fail;
  return { type: "fail", refusal, load, suspects };
}
