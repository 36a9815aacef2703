/** A server's write to the store gets no answer and is executed seconds later, when the server is draining. */
import { draft, keptConnection } from "../lib/client.mjs";
import { hasTrouble, judge } from "../lib/judge.mjs";
import { sleep } from "../lib/system.mjs";

const HEARTBEAT_MS = 1_200;
/** How much later than it was sent the write without an answer is executed; the kinds of the bench name 1 to 6 s. */
const LATE_MS = 5_700;
/** Time from the lost answer to the report of draining: more than `contact_ms`, so the store is stable. */
const STABLE_MS = 3_300;
const DRAIN_MS = 2_000;
/** When the server ends after the report of draining: `drain_ms` and a little longer. */
const END_MS = 3_500;
const CLIENTS = 24;
const EVENTS = 40;
const PAUSE_MS = 300;

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
  const server = system.servers.find(({ service }) => service === "scribe");
  const heartbeats = new Map(system.servers.map((s) => [s, startHeartbeat(system, s)]));
  const heartbeat = heartbeats.get(server);
  let isEnding = false;
  const answers = [];
  const clients = Array.from({ length: CLIENTS }, async (_, i) => {
    await sleep(i * 100);
    const agent = keptConnection();
    const entry = system.entries[i % system.entries.length];
    while (!isEnding) {
      answers.push(await draft(entry, EVENTS, { agent }));
      await sleep(PAUSE_MS);
    }
    agent.destroy();
  });
  await sleep(4_000);
  if (hasTrouble) heartbeat.loseNext();
  await sleep(STABLE_MS);
  const drainedAtMs = heartbeat.drain();
  await sleep(END_MS);
  heartbeat.stop();
  system.remove(server);
  system.note(`${server.id} ends, ${END_MS} ms after its report of draining`);
  await sleep(1_000);
  isEnding = true;
  await Promise.all(clients);
  for (const { stop } of heartbeats.values()) stop();
  const late = system.ran.filter(({ server: id, atMs }) =>
    id === server.id && atMs > drainedAtMs + DRAIN_MS
  );
  const byId = new Map(answers.map((answer) => [answer.id, answer]));
  let lost = 0;
  for (const { id, atMs } of late) {
    const answer = byId.get(id);
    if (!answer.complete) lost++;
    const end = answer.complete ? "complete" : `cut (${answer.error})`;
    const afterMs = Math.round(atMs - drainedAtMs);
    system.note(`${id} reaches ${server.id} ${afterMs} ms after it was draining; answer: ${end}`);
  }
  system.note(`drafts sent ${answers.length}, run ${system.ran.length}`);
  system.note(`requests later than ${DRAIN_MS} ms after the report of draining: ${late.length}`);
  system.note(`${lost} of them were cut off when the server ended`);
  return late.length > 0;
});
