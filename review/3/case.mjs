/** A request that crashes each server that begins to run it comes again, beside the sound drafts of other clients. */
import { draft, keptConnection } from "../lib/client.mjs";
import { hasTrouble, judge } from "../lib/judge.mjs";
import { ModelServer } from "../lib/servers.mjs";
import { sleep } from "../lib/system.mjs";

const MODELS = 4;
const SOUND_CLIENTS = 32;
const SOUND_EVENTS = 8;
const SOUND_PAUSE_MS = 420;
const CRASHING_PAUSE_MS = 800;
const DOWN_MS = 2_000;
const WARM_UP_MS = 5_000;
const PLAY_MS = 30_000;
/** Bounds of the rule. */
const CRASHES = 3;
const CONTACT_MS = 3_000;
const RETRIES = 3;

await judge(import.meta.url, async (system) => {
  const crashes = [];
  let isEnding = false;
  let starts = 0;
  const onBegin = (server, req) => {
    if (!hasTrouble || !req.url.startsWith("/draft/crashing/")) return;
    crashes.push({ atMs: performance.now(), server: server.id });
    const others = server.running.size - 1;
    const id = req.headers["x-wisteriapick-request-id"];
    system.note(`${server.id} crashes as it begins ${id}, with ${others} other drafts`);
    server.crash();
    system.store.delete("servers", server.id);
    setTimeout(async () => {
      if (isEnding) return;
      const next = `${server.id.split("-again")[0]}-again-${++starts}`;
      const options = { id: next, service: "scribe", ran: system.ran, onBegin };
      await system.add(new ModelServer(options), starts);
    }, DOWN_MS);
  };
  await system.start({ entries: 2, models: MODELS, modelOptions: { onBegin } });
  const answers = [];
  const ask = async (n, path, options) => {
    const entry = system.entries[n % system.entries.length];
    const answer = await draft(entry, SOUND_EVENTS, { path, ...options });
    answers.push(answer);
    return answer;
  };
  const clients = Array.from({ length: SOUND_CLIENTS }, async (_, i) => {
    await sleep(i * SOUND_PAUSE_MS / SOUND_CLIENTS);
    const agent = keptConnection();
    while (!isEnding) {
      await ask(i, `/draft/sound/${i}/${SOUND_EVENTS}`, { agent });
      await sleep(SOUND_PAUSE_MS);
    }
    agent.destroy();
  });
  await sleep(WARM_UP_MS);
  const startedAtMs = performance.now();
  for (let n = 0; performance.now() < startedAtMs + PLAY_MS; n++) {
    await ask(n, "/draft/crashing/3", {});
    await sleep(CRASHING_PAUSE_MS);
  }
  isEnding = true;
  await Promise.all(clients);
  const third = crashes[CRASHES - 1]?.atMs ?? Infinity;
  const sentMs = new Map(answers.map(({ id, sentMs: at }) => [id, at]));
  const reached = system.ran.filter(({ path }) => path.startsWith("/draft/crashing/"));
  const late = reached.filter(({ id }) => sentMs.get(id) > third + CONTACT_MS);
  const sound = answers.filter(({ path }) => path.startsWith("/draft/sound/"));
  const lost = sound.filter(({ complete, status }) => status !== 200 || !complete).length;
  system.note(`crashing requests sent ${answers.length - sound.length}, run ${reached.length}`);
  system.note(`sound drafts sent ${sound.length}, not answered in full ${lost}`);
  if (!hasTrouble) return false;
  for (const { id, atMs } of late) {
    system.note(`${id} reaches a server ${Math.round(atMs - third)} ms after crash ${CRASHES}`);
  }
  system.note(`requests at servers sent over ${CONTACT_MS} ms after that crash: ${late.length}`);
  return late.length > RETRIES;
});
