/** A server's write to the store gets no answer and is executed seconds later, when the server is draining. */
import { call, keptConnection } from "../lib/client.mjs";
import { hasTrouble, judge } from "../lib/judge.mjs";
import { sleep } from "../lib/system.mjs";

const HEARTBEAT_MS = 1_200;
/** How much later than it was sent the write without an answer is executed; the kinds of the bench name 1 to 6 s. */
const LATE_MS = 5_700;
/** Time from the lost answer to the report of draining: more than `contact_ms`, so the store is stable. */
const STABLE_MS = 3_300;
const DRAIN_MS = 2_000;
const CONNECTIONS = 6;
const PAUSE_MS = 100;

/** Writes a server's entry every `HEARTBEAT_MS`, as the server does. */
function startHeartbeat(system, server) {
  let sequence = 1;
  let state = "ready";
  let losesNext = false;
  const { spec } = system.store.get("servers", server.id);
  const write = () => {
    const entry = { ...spec, state, sequence: ++sequence };
    if (!losesNext) return void system.store.put("servers", server.id, { spec: entry });
    losesNext = false;
    system.note(`the store doesn't answer ${server.id}'s write: ${state}, sequence ${sequence}`);
    setTimeout(() => {
      system.store.put("servers", server.id, { spec: entry });
      system.note(`the store executes that write: ${entry.state}, sequence ${entry.sequence}`);
    }, LATE_MS);
  };
  const timer = setInterval(write, HEARTBEAT_MS);
  return {
    loseNext: () => {
      losesNext = true;
      write();
    },
    drain: () => {
      state = "draining";
      write();
      system.note(`${server.id} reports draining, sequence ${sequence}; the store accepts it`);
      return performance.now();
    },
    stop: () => clearInterval(timer),
  };
}

await judge(import.meta.url, async (system) => {
  await system.start({ entries: 2 });
  const server = system.servers.find(({ service }) => service === "counter");
  const heartbeats = system.servers.map((s) => [s, startHeartbeat(system, s)]);
  const heartbeat = heartbeats.find(([s]) => s === server)[1];
  let isEnding = false;
  const answers = new Map();
  const clients = Array.from({ length: CONNECTIONS }, async (_, i) => {
    const agent = keptConnection();
    const entry = system.entries[i % system.entries.length];
    while (!isEnding) {
      const result = await call(entry, { path: `/order/${i}`, agent });
      answers.set(result.id, result);
      await sleep(PAUSE_MS);
    }
    agent.destroy();
  });
  await sleep(4_000);
  if (hasTrouble) heartbeat.loseNext();
  await sleep(STABLE_MS);
  const drainedAtMs = heartbeat.drain();
  await sleep(LATE_MS - STABLE_MS + 2 * HEARTBEAT_MS);
  isEnding = true;
  await Promise.all(clients);
  for (const [, { stop }] of heartbeats) stop();
  const late = system.ran.filter(({ server: id, atMs }) =>
    id === server.id && atMs > drainedAtMs + DRAIN_MS
  );
  for (const { id, atMs, path } of late) {
    const afterMs = Math.round(atMs - drainedAtMs);
    system.note(`${id} ${path} reaches ${server.id} ${afterMs} ms after it was draining`);
  }
  const byStatus = Map.groupBy?.([...answers.values()], ({ status }) => status) ?? new Map();
  for (const [status, list] of byStatus) system.note(`orders answered ${status}: ${list.length}`);
  system.note(`orders sent ${answers.size}, run ${system.ran.length}`);
  system.note(`requests later than ${DRAIN_MS} ms after the report of draining: ${late.length}`);
  return late.length > 0;
});
