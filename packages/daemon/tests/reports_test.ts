import assert from "node:assert/strict";
import { after, test } from "node:test";
import { type EndpointId, ManualClock, World } from "@wisteriapick/core";
import type { CacheEvent, HostRecord } from "@wisteriapick/clients";
import type { LoadView } from "@wisteriapick/policy";
import type { Link, LinkPool } from "@wisteriapick/wire";
import { EndpointDirectory, LeastInFlightPlacement, PooledLinks } from "../src/mod.ts";
import { FakeEngine, Fleet, waitUntil } from "./fixtures.ts";
import { streamChat } from "./sse_client.ts";

class CachingEngine extends FakeEngine {
  events: CacheEvent[] = [];
  override async cacheEvents(after = 0): Promise<readonly CacheEvent[]> {
    return this.events.filter((ev) => ev.seq > after);
  }
}

class RecordingPlacement extends LeastInFlightPlacement {
  readonly cacheEvents: string[] = [];
  readonly loads: LoadView[] = [];
  override recordCacheEvent(endpoint: EndpointId, type: string, prefix: string): void {
    this.cacheEvents.push(`${endpoint} ${type} ${prefix}`);
  }
  override recordLoad(load: LoadView): void {
    this.loads.push(load);
    super.recordLoad(load);
  }
}

// Guards against placement with outdated cache contents, or on an endpoint whose host is leaving.
test("cache events and drain notices reach the connected entries, each event once", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new CachingEngine();
  engine.release(5);
  const { side } = await fleet.startSide("scribe-1", engine);
  const placement = new RecordingPlacement();
  const { url } = await fleet.startEntry("1", { placement });
  await streamChat(url).waitForEnd();
  engine.events.push({ seq: 1, type: "stored", prefix: "a" });
  await waitUntil(() => placement.cacheEvents.length === 1);
  engine.events.push({ seq: 3, type: "evicted", prefix: "a" });
  await waitUntil(() => placement.cacheEvents.length === 2);
  assert.deepEqual(placement.cacheEvents, ["scribe-1 stored a", "scribe-1 evicted a"]);
  side.setLeaving(true);
  await waitUntil(() => placement.loads.at(-1)?.leaving === true);
});

function makeHost(side: string): HostRecord {
  return {
    host: "h-1" as HostRecord["host"],
    dataCentre: "dc-1" as HostRecord["dataCentre"],
    region: "r-1" as HostRecord["region"],
    state: "live",
    side,
    endpoint: {
      id: "e-1" as EndpointId,
      service: "scribe" as NonNullable<HostRecord["endpoint"]>["service"],
      address: "127.0.0.1:1",
    },
  };
}

// Guards against links that are kept for ever to sides that have moved, and against a stale read undoing a newer
// one.
test("a directory reports the side addresses that are no longer listed, and ignores an older list", () => {
  const directory = new EndpointDirectory(new World({ clock: new ManualClock() }));
  const unlistedByChange: string[][] = [];
  directory.registerListener(({ unlisted }) => unlistedByChange.push([...unlisted]));
  directory.apply({ index: 1, hosts: [makeHost("127.0.0.1:1")] });
  directory.apply({ index: 3, hosts: [makeHost("127.0.0.1:2")] });
  directory.apply({ index: 2, hosts: [] });
  directory.apply({ index: 4, hosts: [] });
  assert.deepEqual(unlistedByChange, [[], ["127.0.0.1:1"], ["127.0.0.1:2"]]);
});

// Guards against cutting the last responses of a host that has just been removed from the list.
test("a link to an unlisted address is released after a delay, unless it is used again", async () => {
  const clock = new ManualClock();
  let heldLinks = 0;
  const keep = () => {
    heldLinks++;
    return () => void heldLinks--;
  };
  const pool = { keep, ready: async () => ({}) as Link } as unknown as LinkPool;
  const links = new PooledLinks(pool, { clock });
  await links.get("127.0.0.1:1");
  links.forget("127.0.0.1:1");
  clock.advance(600_000);
  await links.get("127.0.0.1:1");
  clock.advance(600_000);
  assert.equal(heldLinks, 1);
  links.forget("127.0.0.1:1");
  clock.advance(900_000);
  await links.get("127.0.0.1:2");
  assert.equal(heldLinks, 1);
});
