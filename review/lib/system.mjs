/** A small deployment: the program of the deploy file as processes, and stand-ins for everything else. */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { AppServer, ModelServer } from "./servers.mjs";
import { Store } from "./store.mjs";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
export const HOST = "shop.example";
export const KEY = "key-of-the-museum-shop";
const ZONES = ["accra-osu", "accra-tema", "accra-legon"];
const READY_WITHIN_MS = 20_000;

/** Processes that run now; none outlives this one. */
const children = new Set();
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) process.on(signal, () => process.exit(2));

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class System {
  store = new Store();
  ran = [];
  servers = [];
  entries = [];
  lines = [];
  #dir = mkdtempSync(join(tmpdir(), "review-"));
  #startedAt = performance.now();
  #isEnding = false;

  /** Time since the start, in milliseconds. */
  get ms() {
    return Math.round(performance.now() - this.#startedAt);
  }

  note(text) {
    const line = `${String(this.ms).padStart(6)} ms  ${text}`;
    this.lines.push(line);
    console.log(line);
  }

  async start(
    { entries = 2, apps = 3, models = 4, graceS = 8, appOptions = {}, modelOptions = {} },
  ) {
    this.graceS = graceS;
    await this.store.listen();
    this.store.put("config", "main", { spec: config() });
    for (let i = 0; i < apps; i++) {
      await this.add(
        new AppServer({ id: `i-counter-${i}`, service: "counter", ran: this.ran, ...appOptions }),
        i,
      );
    }
    for (let i = 0; i < models; i++) {
      await this.add(
        new ModelServer({ id: `i-scribe-${i}`, service: "scribe", ran: this.ran, ...modelOptions }),
        i,
      );
    }
    const ports = await freePorts(4 * entries);
    const seeds = Array.from(
      { length: Math.min(3, entries) },
      (_, i) => `127.0.0.1:${ports[4 * i + 2]}`,
    );
    for (let i = 0; i < entries; i++) {
      this.entries.push(
        new Entry(this, {
          name: `front-${i + 1}`,
          zone: ZONES[i % 3],
          ports: ports.slice(4 * i, 4 * i + 4),
          seeds,
        }),
      );
    }
    for (const entry of this.entries) entry.start();
    for (const entry of this.entries) await entry.untilReady();
    this.note(`${entries} entries are ready`);
  }

  get dir() {
    return this.#dir;
  }

  async add(server, i = 0) {
    await server.listen();
    this.servers.push(server);
    this.store.put("servers", server.id, { spec: registration(server, ZONES[i % 3]) });
  }

  /** Ends a server and deletes its entry. */
  remove(server) {
    server.close();
    this.store.delete("servers", server.id);
  }

  onExit(entry, how) {
    if (!this.#isEnding) this.note(`${entry.name} ended: ${how}`);
  }

  /** Ends all processes and stand-ins. */
  async stop() {
    this.#isEnding = true;
    for (const entry of this.entries) await entry.kill("SIGKILL");
    for (const server of this.servers) server.close();
    this.store.close();
    rmSync(this.#dir, { recursive: true, force: true });
  }

  writeRecord(file) {
    writeFileSync(file, this.lines.join("\n") + "\n");
  }
}

/** One process of the deploy file's role. */
class Entry {
  #child = null;
  #exited = Promise.resolve();

  constructor(system, { name, zone, ports, seeds }) {
    const [front, ready, control, metrics] = ports;
    Object.assign(this, { system, name, zone, front, ready, exits: 0 });
    this.settings = settings({ system, name, zone, front, ready, control, metrics, seeds });
  }

  get pid() {
    return this.#child?.pid;
  }

  start() {
    const file = join(this.system.dir, `${this.name}.yaml`);
    writeFileSync(file, this.settings);
    const args = ["--max-old-space-size=110", "--max-semi-space-size=2", "target/entry.cjs"];
    const child = spawn("node", args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: "C", WISTERIAPICK_BOOT: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    children.add(child);
    const log = createWriteStream(join(this.system.dir, `${this.name}.log`), { flags: "a" });
    child.stdout.pipe(log, { end: false });
    this.stderr = "";
    child.stderr.on("data", (chunk) => this.stderr += chunk);
    this.#exited = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        this.exits++;
        children.delete(child);
        this.#child = null;
        this.system.onExit(this, signal === null ? `exit code ${code}` : `signal ${signal}`);
        resolve();
      })
    );
  }

  async untilReady() {
    for (const until = performance.now() + READY_WITHIN_MS; performance.now() < until;) {
      const res = await fetch(`http://127.0.0.1:${this.ready}/api/ready`).catch(() => null);
      await res?.arrayBuffer();
      if (res?.status === 200) return;
      await sleep(50);
    }
    throw new Error(`${this.name} is not ready`);
  }

  signal(name) {
    this.#child?.kill(name);
  }

  async kill(name) {
    this.#child?.kill(name);
    await this.#exited;
  }
}

function settings({ system, name, zone, front, ready, control, metrics, seeds }) {
  const address = (port) => JSON.stringify(`127.0.0.1:${port}`);
  return `name: ${JSON.stringify(name)}
data_centre: ${JSON.stringify(zone)}
regions: ${JSON.stringify(Object.fromEntries(ZONES.map((z) => [z, "accra"])))}
processor_share: 0.513
link_mbps: 1000.0
listen:
  callers: ${address(front)}
  readiness: ${address(ready)}
  peers: ${address(control)}
  metrics: ${address(metrics)}
store:
  address: ${JSON.stringify(system.store.address)}
cluster_key: entries
seeds: ${JSON.stringify(seeds)}
bounds:
  retry_ratio: 0.2
  retry_window_ms: 10000
  retry_extra: 52
  cold_rate_factor: 1.5
  cold_slack: 5
  grace_ms: ${system.graceS}000
  drain_ms: 2000
  expose_share: 0.1
  expose_extra: 50
  enforce_revocation: false
  revoke_ms: 5000
`;
}

function config() {
  const route = (name, kind, service, more) => ({
    name,
    hostname: HOST,
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: 1_000,
    target_latency_ms: 121,
    priority: 2,
    service,
    max_attempts: 1,
    public: false,
    ...more,
  });
  const stream = { session_affinity: true, stream_resume: false, gap_aim_ms: 180 };
  const service = (name, more) => ({
    name,
    health_path: "/health",
    protocol: "h1",
    tls: false,
    ...more,
  });
  return {
    version: 7,
    routes: [
      route("draft", "streaming", "scribe", {
        timeout_ms: 39_000,
        target_latency_ms: 1_800,
        priority: 0,
        ...stream,
      }),
      route("sort", "streaming", "scribe", {
        timeout_ms: 6_000,
        target_latency_ms: 1_500,
        priority: 1,
        ...stream,
      }),
      route("order", "non_idempotent", "counter", {}),
      route("stock", "idempotent", "counter", { max_attempts: 2 }),
    ],
    services: [
      service("scribe", {
        max_connections: 232,
        cold_start_s: 1.0,
        cold_per_s: 36.0,
        engine: {
          slots: 24,
          kv_capacity_tokens: 34_282,
          kv_token_bytes: 163_840,
          link_mbps: 24_000.0,
          moves: false,
          backups: false,
          stride: 4,
          most: 12,
          pin_ms: 4_000.0,
          hold_ms: 2_000.0,
          handle_s: 5.0,
          models: [{ name: "m" }],
        },
      }),
      service("counter", { max_connections: 96, cold_start_s: 0.0, cold_per_s: 0.0 }),
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "museum-shop", api_keys: [KEY] }],
  };
}

function registration({ id, service, address, version }, zone) {
  return {
    service,
    address,
    zone,
    version,
    slots: service === "scribe" ? 24 : 6,
    state: "ready",
    cold_remaining_ms: 0,
    stage: "both",
    models: [{ name: "m", version: 1, adapters: [] }],
    sequence: 1,
    born: Date.now(),
    id,
  };
}

async function freePorts(count) {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map((s) => new Promise((resolve) => s.listen(0, "127.0.0.1", resolve))),
  );
  const ports = servers.map((s) => s.address().port);
  await Promise.all(servers.map((s) => new Promise((resolve) => s.close(resolve))));
  return ports;
}
