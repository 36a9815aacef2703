/** A service's traffic is to be moved to a new version, of which half of the answers are failures. */
import { draft, keptConnection } from "../lib/client.mjs";
import { hasTrouble, judge } from "../lib/judge.mjs";
import { ModelServer } from "../lib/servers.mjs";
import { sleep } from "../lib/system.mjs";

const CLIENTS = 40;
const PAUSE_MS = 600;
const EVENTS = 3;
const DURATION_S = 24;
/** Bounds of the rule. */
const BAD_ANSWERS = 50;
const ROLLBACK_MS = 5_000;
/** How long the case goes on after the deadline. */
const AFTER_MS = 4_000;

/** Fails every second request, by its id. */
function makeFails() {
  const known = new Map();
  return (id) => {
    if (!known.has(id)) known.set(id, known.size % 2 === 1);
    return known.get(id);
  };
}

await judge(import.meta.url, async (system) => {
  await system.start({ entries: 2, models: 3 });
  const old = system.servers.filter(({ service }) => service === "scribe");
  const fails = hasTrouble ? makeFails() : () => false;
  for (let i = 0; i < 3; i++) {
    const id = `i-scribe-new-${i}`;
    await system.add(
      new ModelServer({ id, service: "scribe", version: "v2", ran: system.ran, fails }),
      i,
    );
  }
  system.store.put("rollouts", "scribe", {
    spec: { service: "scribe", target: "v2", duration_s: DURATION_S },
  });
  system.note(`the operator orders scribe to v2 within ${DURATION_S} s`);
  const orderedAtMs = performance.now();
  let isEnding = false;
  const answers = [];
  const clients = Array.from({ length: CLIENTS }, async (_, i) => {
    await sleep(i * PAUSE_MS / CLIENTS);
    const agent = keptConnection();
    const entry = system.entries[i % system.entries.length];
    while (!isEnding) {
      answers.push(
        await draft(entry, EVENTS, { path: `/sort/${EVENTS}`, agent, deadlineMs: 6_000 }),
      );
      await sleep(PAUSE_MS);
    }
    agent.destroy();
  });
  let state = null;
  while (performance.now() < orderedAtMs + DURATION_S * 1_000 + AFTER_MS) {
    await sleep(20);
    const status = system.store.get("rollouts", "scribe").status;
    if (status === null || status.state === state) continue;
    state = status.state;
    system.note(`the status of the order is ${state}, target ${status.target}`);
    if (state === "completed") { for (const server of old) system.remove(server); }
  }
  isEnding = true;
  await Promise.all(clients);
  const isNew = (seal) => seal?.startsWith("i-scribe-new-") ?? false;
  const bad = answers.filter(({ status, seal }) => isNew(seal) && status >= 500)
    .sort((a, b) => a.endMs - b.endMs);
  const atNew = system.ran.filter(({ server }) => server.startsWith("i-scribe-new-"));
  system.note(`drafts sent ${answers.length}, run ${system.ran.length}, by v2 ${atNew.length}`);
  const others = answers.filter(({ status }) => status !== 200).length;
  system.note(`answers other than 200: ${others}; failures of v2: ${bad.length}`);
  const fiftieth = bad[BAD_ANSWERS - 1]?.endMs ?? Infinity;
  if (fiftieth < Infinity) {
    const afterMs = Math.round(fiftieth - orderedAtMs);
    system.note(`bad answer ${BAD_ANSWERS} of v2 came ${afterMs} ms after the order`);
  }
  const sentMs = new Map(answers.map(({ id, sentMs: at }) => [id, at]));
  const late = atNew.filter(({ id }) => sentMs.get(id) > fiftieth + ROLLBACK_MS);
  const deadline = orderedAtMs + DURATION_S * 1_000;
  const before = late.filter(({ id }) => sentMs.get(id) < deadline).length;
  system.note(`requests at v2 sent over ${ROLLBACK_MS} ms after that: ${late.length}`);
  system.note(`${before} of them before the deadline of the order`);
  return late.length > 0;
});
