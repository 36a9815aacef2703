import assert from "node:assert/strict";
import { test } from "node:test";
import { ColdLimiter } from "../src/mod.ts";

const PER_SECOND = 36;
const BOUND = { rateFactor: 1.5, slack: 5 };

test("all gateways together stay under the bound of a cold endpoint in every second", () => {
  const gateways = 4;
  const limiters = Array.from({ length: gateways }, () => new ColdLimiter(BOUND));
  const sent: number[] = [];
  for (let ms = 0; ms < 5_000; ms++) {
    const limiter = limiters[ms % gateways]!;
    if (!limiter.allows("scribe-1", PER_SECOND, gateways, ms)) continue;
    limiter.recordSent("scribe-1", ms);
    sent.push(ms);
  }
  const bound = PER_SECOND * BOUND.rateFactor + BOUND.slack;
  for (let from = 0; from < 4_000; from += 10) {
    const inSecond = sent.filter((ms) => ms >= from && ms < from + 1_000).length;
    assert.ok(inSecond <= bound, `${inSecond} requests in the second from ${from}`);
  }
});

test("gateways that count one sharer too few still keep the bound", () => {
  const limiters = Array.from({ length: 4 }, () => new ColdLimiter(BOUND));
  let sent = 0;
  for (const limiter of limiters) {
    while (limiter.allows("scribe-1", PER_SECOND, 3, 0)) {
      limiter.recordSent("scribe-1", 0);
      sent++;
    }
  }
  // One of the four was cut off and believes in three; its share is the larger for it.
  assert.ok(sent * 3 / 4 <= PER_SECOND * BOUND.rateFactor + BOUND.slack);
});

test("endpoints are limited apart from each other", () => {
  const limiter = new ColdLimiter({ rateFactor: 1, slack: 0 });
  while (limiter.allows("a", 10, 1, 0)) limiter.recordSent("a", 0);
  assert.equal(limiter.allows("b", 10, 1, 0), true);
});

test("an endpoint may be sent requests again when the second is over", () => {
  const limiter = new ColdLimiter({ rateFactor: 1, slack: 0 });
  while (limiter.allows("a", 10, 1, 0)) limiter.recordSent("a", 0);
  assert.equal(limiter.allows("a", 10, 1, 500), false);
  assert.equal(limiter.allows("a", 10, 1, 1_200), true);
});
