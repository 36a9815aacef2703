import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import { SilenceTimer } from "../src/silence_timer.ts";

const IDLE_TIMEOUT_MS = 5_000;

/** A clock on which the next timers are late by the time for which the process has stalled. */
class LateClock extends ManualClock {
  #lateMs = 0;

  override now(): number {
    return super.now() + this.#lateMs;
  }

  /** Passes time until timers fire that are `ms` milliseconds late, before anything is read. */
  advanceLate(dueInMs: number, ms: number): void {
    this.#lateMs += ms;
    this.advance(dueInMs);
  }
}

function startTimer() {
  const clock = new LateClock();
  let silent = 0;
  const silence = new SilenceTimer({
    clock,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    onSilent: () => silent++,
  });
  silence.restart();
  return { clock, silence, silentCount: () => silent };
}

const nextIteration = () => new Promise<void>((resolve) => setImmediate(resolve));

async function settle(): Promise<void> {
  for (let i = 0; i < 4; i++) await nextIteration();
}

// Guards against breaking off a stream whose messages wait to be read: one check had passed without a message, and a
// stall made the second one run before the messages were read.
test("a peer whose message arrived during a stall before the second check is not silent", async () => {
  const { clock, silence, silentCount } = startTimer();
  clock.advance(IDLE_TIMEOUT_MS / 2);
  clock.advanceLate(IDLE_TIMEOUT_MS / 2, 900);
  assert.equal(silentCount(), 0);
  await nextIteration();
  silence.restart();
  await settle();
  assert.equal(silentCount(), 0);
});

test("a peer that sends nothing is silent after a stall, once connections have been polled", async () => {
  const { clock, silentCount } = startTimer();
  clock.advance(IDLE_TIMEOUT_MS / 2);
  clock.advanceLate(IDLE_TIMEOUT_MS / 2, 900);
  await settle();
  assert.equal(silentCount(), 1);
  clock.advance(2 * IDLE_TIMEOUT_MS);
  await settle();
  assert.equal(silentCount(), 1);
});

test("a peer that sends nothing is silent at the second check where nothing stalls", () => {
  const { clock, silentCount } = startTimer();
  clock.advance(IDLE_TIMEOUT_MS - 1);
  assert.equal(silentCount(), 0);
  clock.advance(1);
  assert.equal(silentCount(), 1);
});

test("a stopped timer reports nothing, also between a late check and the next poll", async () => {
  const { clock, silence, silentCount } = startTimer();
  clock.advance(IDLE_TIMEOUT_MS / 2);
  clock.advanceLate(IDLE_TIMEOUT_MS / 2, 900);
  silence.stop();
  await settle();
  assert.equal(silentCount(), 0);
});
