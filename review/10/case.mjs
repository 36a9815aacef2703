// A part of prompts crashes each engine that begins to answer on it. It stands behind many other parts.
import {
  EngineServer,
  Entries,
  Recorder,
  request,
  sleep,
  Store,
  streamConfig,
} from "../lib-2/harness.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
/** Number of parts before the one that crashes engines. */
const PARTS_BEFORE = Number(process.env.PARTS_BEFORE ?? 40);
const CONTACT_MS = 3_000;
const LENGTH_MS = 60_000;
const POISON_INTERVAL_MS = 700;
const SOUND_INTERVAL_MS = 150;
const RESTART_MS = 2_500;
const POISON = "dead0001";
/** Events of a sound stream, which takes two seconds. */
const EVENTS = 40;

const recorder = new Recorder(new URL("record.txt", import.meta.url).pathname);
/** When requests with the part reached an engine, and when engines crashed. */
const arrivals = [];
const crashes = [];

/** An engine that crashes when it begins to answer a request with the part, and comes back after a while. */
class FragileEngine extends EngineServer {
  constructor(options) {
    super({ ...options, events: EVENTS, gapMs: 50 });
    const stream = this.handle;
    this.handle = (req, res, run) => {
      const prefix = req.headers["x-wisteriapick-prompt-prefix"] ?? "";
      if (!prefix.includes(`${POISON}:`)) return stream(req, res, run);
      arrivals.push(recorder.now);
      recorder.write("poisoned_run", { id: run.id, engine: this.id });
      res.writeHead(200, {
        "content-type": "text/event-stream",
        "x-wisteriapick-request-id": run.id,
        "x-wisteriapick-server-seal": `seal.${this.id}.${run.id}`,
      });
      res.write(`id: 1\ndata: ${run.id}\n\n`);
      setTimeout(() => this.crash(), 10);
    };
  }

  async crash() {
    if (this.isDown) return;
    this.isDown = true;
    crashes.push(recorder.now);
    recorder.write("engine_crashed", { engine: this.id, crashes: crashes.length });
    this.stop();
    await sleep(RESTART_MS);
    if (isOver) return;
    this.born = Date.now();
    this.isDown = false;
    await this.start();
  }
}

let isOver = false;

async function main() {
  const store = new Store();
  await store.start();
  store.put("config", "main", streamConfig());
  const zones = ["accra-osu", "accra-tema", "accra-legon"];
  const engines = Array.from(
    { length: 9 },
    (_, i) => new FragileEngine({ store, id: `e-${i + 1}`, service: "scribe", zone: zones[i % 3] }),
  );
  for (const engine of engines) await engine.start();
  const entries = new Entries({ store, recorder });
  for (const zone of zones) await entries.add({ name: `front-${zone}-1`, zone });
  for (const entry of entries.list) entries.start(entry);
  for (const entry of entries.list) await entries.whenReady(entry);
  // The platform sends clients to entries that are in touch.
  await sleep(CONTACT_MS);

  const shared = Array.from(
    { length: PARTS_BEFORE },
    (_, i) => `c0de${String(i).padStart(4, "0")}:20`,
  );
  let next = 1;
  const sound = { served: 0, refused: 0, failed: 0 };
  const send = async (isPoisoned) => {
    const n = next++;
    const entry = entries.list[n % entries.list.length];
    const middle = isPoisoned ? `${POISON}:30` : `feed${String(n % 5).padStart(4, "0")}:30`;
    const own = `${(0x10000000 + n).toString(16)}:50`;
    const { status, text } = await request(entry, {
      host: "scribe.example",
      path: "/sort/1",
      body: `prompt ${n}`,
      deadlineMs: 6_000,
      headers: {
        "x-wisteriapick-model": "m",
        "x-wisteriapick-token-counts": `${20 * PARTS_BEFORE + 80},160`,
        "x-wisteriapick-prompt-prefix": [...shared, middle, own].join(","),
      },
    });
    if (isPoisoned) return recorder.write("poisoned_answer", { n, status });
    if (status === 200 && text.includes(`id: ${EVENTS}\n`)) sound.served++;
    else if (status === 503 || status === 429) sound.refused++;
    else sound.failed++;
  };
  const endsAt = recorder.now + LENGTH_MS;
  const pending = new Set();
  const every = async (ms, isPoisoned) => {
    while (recorder.now < endsAt) {
      const sent = send(isPoisoned).finally(() => pending.delete(sent));
      pending.add(sent);
      await sleep(ms);
    }
  };
  const traffic = [every(SOUND_INTERVAL_MS, false)];
  await sleep(3_000);
  if (TROUBLE) traffic.push(every(POISON_INTERVAL_MS, true));
  await Promise.all(traffic);
  await Promise.all(pending);
  isOver = true;
  const fifthAt = crashes[4] ?? Infinity;
  const late = arrivals.filter((at) => at > fifthAt + CONTACT_MS).length;
  recorder.write("summary", {
    partsBefore: PARTS_BEFORE,
    arrivals: arrivals.length,
    crashes: crashes.length,
    arrivalsLaterThanContactMsAfterTheFifthCrash: late,
    sound: JSON.stringify(sound),
    exits: entries.list.reduce((sum, { exits }) => sum + exits, 0),
  });
  await entries.stop();
  for (const engine of engines) if (!engine.isDown) engine.stop();
  store.stop();
  if (sound.served === 0) return 2;
  // BUDGET: more than three requests with the part reach servers later than contact_ms after the fifth crash.
  return late > 3 ? 1 : 0;
}

main().then((code) => {
  recorder.write("exit", { code });
  process.exit(code);
}, (e) => {
  recorder.write("error", { message: JSON.stringify(String(e.stack)) });
  process.exit(2);
});
