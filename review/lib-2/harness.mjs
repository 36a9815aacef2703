// Stand-ins of a small deployment for the cases of the second review: the platform's store, plain application servers,
// and the entries of the deploy file as separate processes. Only modules of Node.js are used, so nothing is built.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const ROOT = new URL("../../", import.meta.url).pathname;
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const HOST = "127.0.0.1";

/** A port of the loopback address that is free now. */
export function freePort() {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, HOST, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Writes `record.txt`, one line for each event, with the time since the start. */
export class Recorder {
  #file;
  #startedAt = performance.now();

  constructor(file) {
    this.#file = file;
    writeFileSync(file, "");
  }

  get now() {
    return performance.now() - this.#startedAt;
  }

  write(event, fields = {}) {
    const text = Object.entries(fields).map(([k, v]) => ` ${k}=${v}`).join("");
    appendFileSync(this.#file, `${(this.now / 1_000).toFixed(3)} ${event}${text}\n`);
  }
}

/** The platform's metadata store, as PROTOCOL.md describes it, as far as entries use it. */
export class Store {
  #revision = 1;
  #objects = new Map();
  #history = [];
  #waiting = new Set();
  #server;

  async start() {
    this.#server = http.createServer(
      { maxHeaderSize: 262_144 },
      (req, res) => this.#serve(req, res),
    );
    this.#server.maxHeadersCount = 0;
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.#server.listen(0, HOST, resolve));
    this.address = `${HOST}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(kind, name, spec) {
    const objects = this.#kind(kind);
    const known = objects.get(name);
    const revision = ++this.#revision;
    const metadata = {
      name,
      revision,
      create_revision: known?.metadata.create_revision ?? revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, spec, status: known?.status ?? null };
    objects.set(name, object);
    this.#record(kind, object, false);
    return object;
  }

  delete(kind, name) {
    const known = this.#kind(kind).get(name);
    if (known === undefined) return false;
    this.#kind(kind).delete(name);
    const object = { ...known, metadata: { ...known.metadata, revision: ++this.#revision } };
    this.#record(kind, object, true);
    return true;
  }

  #kind(kind) {
    if (!this.#objects.has(kind)) this.#objects.set(kind, new Map());
    return this.#objects.get(kind);
  }

  #record(kind, object, deleted) {
    this.#history.push({ kind, revision: object.metadata.revision, event: { object, deleted } });
    for (const wake of [...this.#waiting]) wake();
  }

  #serve(req, res) {
    const url = new URL(req.url, "http://store");
    const [, , , kind, name, sub] = url.pathname.split("/").map(decodeURIComponent);
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => {
      const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks)) : {};
      if (req.method === "GET" && name === undefined && url.searchParams.has("watch")) {
        return this.#watch(kind, url.searchParams, res);
      }
      this.#call(req.method, { kind, name, sub, body }, res);
    });
  }

  #call(method, { kind, name = undefined, sub, body }, res) {
    const objects = this.#kind(kind);
    if (method === "GET" && name === undefined) {
      return reply(res, 200, {
        items: [...objects.values()],
        has_more: false,
        at: this.#revision,
      });
    }
    const key = name ?? body.metadata?.name;
    const known = objects.get(key);
    if (method === "GET") return reply(res, known === undefined ? 404 : 200, known ?? {});
    if (method === "POST") {
      if (known !== undefined) return reply(res, 409, known);
      return reply(res, 200, this.put(kind, key, body.spec));
    }
    if (known === undefined) return reply(res, 404, {});
    const expected = body.metadata?.revision;
    if (expected !== undefined && expected !== known.metadata.revision) {
      return reply(res, 409, known);
    }
    if (method === "DELETE") return reply(res, 200, this.delete(kind, key) ? {} : {});
    if (sub === "status") {
      known.status = body.status;
      known.metadata.revision = ++this.#revision;
      this.#record(kind, known, false);
      return reply(res, 200, known);
    }
    reply(res, 200, this.put(kind, key, body.spec));
  }

  #watch(kind, params, res) {
    const from = Number(params.get("watch"));
    const since = () =>
      this.#history.filter((h) => h.kind === kind && h.revision > from).map((h) => h.event);
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
      reply(res, 200, { events: since(), at: this.#revision });
    };
    const check = () => {
      if (since().length > 0) finish();
    };
    const timer = setTimeout(finish, Math.min(30_000, Number(params.get("wait_ms") ?? 0)));
    this.#waiting.add(check);
    res.once("close", () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
    });
    check();
  }
}

function reply(res, status, body) {
  if (res.destroyed) return;
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
}

/** One application server of a plain service. It registers itself, and keeps a list of the requests that it ran. */
export class AppServer {
  runs = [];
  #sequence = 0;
  #beat;
  #server;

  constructor({ store, id, service, zone, slots = 6, workMs = 20, handle = null }) {
    Object.assign(this, { store, id, service, zone, slots, workMs, handle });
    this.born = Date.now();
  }

  async start() {
    this.#server = http.createServer(
      { maxHeaderSize: 262_144 },
      (req, res) => this.#serve(req, res),
    );
    this.#server.maxHeadersCount = 0;
    this.#server.keepAliveTimeout = 30_000;
    await new Promise((resolve) => this.#server.listen(0, HOST, resolve));
    this.address = `${HOST}:${this.#server.address().port}`;
    this.register();
    this.#beat = setInterval(() => this.register(), 1_200);
  }

  stop() {
    clearInterval(this.#beat);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  register() {
    this.store.put("servers", this.id, {
      id: this.id,
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: ++this.#sequence,
      born: this.born,
    });
  }

  #serve(req, res) {
    const id = req.headers["x-wisteriapick-request-id"];
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", async () => {
      const expected = req.headers["x-wisteriapick-expect-instance"];
      if (expected !== undefined && expected !== this.id) {
        res.writeHead(421, { "x-wisteriapick-request-id": id ?? "", "content-length": 0 });
        return res.end();
      }
      if (req.url === "/health" || id === undefined) {
        const status = req.url === "/health" ? 200 : 400;
        res.writeHead(status, { "x-wisteriapick-instance-id": this.id, "content-length": 0 });
        return res.end();
      }
      this.runs.push({ id, body: Buffer.concat(chunks), headers: req.headers });
      await sleep(this.workMs);
      if (this.handle !== null) return this.handle(req, res, { id, server: this });
      const text = `${this.id} ran ${id}\n`.padEnd(800, ".");
      res.writeHead(200, {
        "x-wisteriapick-request-id": id,
        "x-wisteriapick-server-seal": `seal.${this.id}.${id}`,
        "content-length": text.length,
      });
      res.end(text);
    });
  }
}

/** Fills in a template as DEPLOY.md says. */
export function fillTemplate(text, fields) {
  const lookup = (scopes, path) => {
    if (path === ".") return scopes[0];
    for (const scope of scopes) {
      let value = scope;
      for (const part of path.split(".")) value = value?.[part];
      if (value !== undefined && value !== null) return value;
    }
    return undefined;
  };
  const render = (part, scopes) => {
    const section = /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
    let out = "";
    for (let rest = part;;) {
      const match = section.exec(rest);
      const plain = match === null ? rest : rest.slice(0, match.index);
      out += plain.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_m, path, json) => {
        const value = lookup(scopes, path);
        if (value === undefined) return json ? "null" : "";
        return json ? JSON.stringify(value) : String(value);
      });
      if (match === null) return out;
      const [whole, kind, path, inner] = match;
      const value = lookup(scopes, path);
      const isSet = value !== undefined && value !== false;
      if (kind === "^" && !isSet) out += render(inner, scopes);
      if (kind === "#" && isSet) out += render(inner, [value, ...scopes]);
      rest = rest.slice(match.index + whole.length);
    }
  };
  return render(text, [fields]);
}

/** Bounds of a small deployment (`sites/kente-lane.toml`, DEPLOY.md). */
export const BOUNDS = {
  contact_ms: 3_000,
  drain_ms: 2_000,
  grace_s: 8,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_extra: 52,
  expose_share: 0.1,
  expose_slack: 50,
  cold_over: 1.5,
  cold_slack: 5,
  enforce_revocation: false,
  revoke_ms: 5_000,
};

/** The entries of the deploy file, as separate processes. */
export class Entries {
  list = [];
  #dir = mkdtempSync(join(tmpdir(), "review-2-"));
  #children = new Set();

  constructor({ store, recorder }) {
    Object.assign(this, { store, recorder });
    // Ended from outside, the case ends its processes as well.
    for (const signal of ["SIGTERM", "SIGINT"]) process.once(signal, () => process.exit(2));
    process.once("exit", () => {
      for (const child of this.#children) child.kill("SIGKILL");
      rmSync(this.#dir, { recursive: true, force: true });
    });
  }

  async add({ name, zone, memoryMb = 200 }) {
    const ports = await Promise.all([freePort(), freePort(), freePort()]);
    const [front, ready, control] = ports.map((port) => `${HOST}:${port}`);
    const entry = { name, zone, memoryMb, front, ready, control, port: ports[0], exits: 0 };
    this.list.push(entry);
    return entry;
  }

  start(entry) {
    const { run, template } = deployRole();
    const settings = fillTemplate(readFileSync(join(ROOT, template), "utf8"), {
      node_name: entry.name,
      zone: entry.zone,
      region: "accra",
      zones: { "accra-osu": "accra", "accra-tema": "accra", "accra-legon": "accra" },
      limits: { cpu_share: 0.513, memory_mb: entry.memoryMb, max_fds: 4_100, link_mbps: 1_000 },
      listen_addresses: { front: entry.front, ready: entry.ready, control: entry.control },
      platform: { address: this.store.address },
      seed_nodes: this.list.slice(0, 3).map(({ control }) => control),
      bounds: BOUNDS,
    });
    const file = join(this.#dir, `${entry.name}.yaml`);
    writeFileSync(file, settings);
    const [command, ...args] = run.split(" ");
    const child = spawn(command === "node" ? process.execPath : command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, WISTERIAPICK_BOOT: file },
      stdio: ["ignore", "ignore", "pipe"],
    });
    this.#children.add(child);
    entry.child = child;
    entry.stderr = "";
    child.stderr.on("data", (chunk) => entry.stderr = (entry.stderr + chunk).slice(-4_000));
    child.once("exit", (code, signal) => {
      this.#children.delete(child);
      entry.exits++;
      this.recorder.write("entry_exited", { entry: entry.name, code, signal });
    });
    this.recorder.write("entry_started", { entry: entry.name, pid: child.pid });
  }

  /** Resolves when the entry is ready; raises after `withinMs`. */
  async whenReady(entry, withinMs = 20_000) {
    const endsAt = performance.now() + withinMs;
    while (performance.now() < endsAt) {
      if (await isReady(entry)) return;
      await sleep(100);
    }
    throw new Error(`${entry.name} is not ready`);
  }

  async stop() {
    const ends = [...this.#children].map((child) =>
      new Promise((resolve) => child.once("exit", resolve))
    );
    for (const child of this.#children) child.kill("SIGKILL");
    await Promise.all(ends);
  }
}

/** Whether an entry answers 200 at its ready address. */
export function isReady({ ready }) {
  return new Promise((resolve) => {
    const req = http.get(`http://${ready}/api/ready`, { agent: false, timeout: 900 }, (res) => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.on("timeout", () => req.destroy());
    req.on("error", () => resolve(false));
  });
}

function deployRole() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const get = (key) => new RegExp(`^${key} = "([^"]*)"`, "m").exec(text)[1];
  return { run: get("run"), template: get("template") };
}

/** Resident memory of a process, in MiB; `null` if it has ended. */
export function residentMb(pid) {
  try {
    const line = /^VmRSS:\s+(\d+) kB/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return line === null ? null : Number(line[1]) / 1_024;
  } catch {
    return null;
  }
}

let nextRequest = 1;

/**
 * Sends one request and resolves with its outcome: the status, the body and the time; `status` is null where the
 * connection ended or nothing came within `giveUpMs`.
 */
export function request(entry, options = {}) {
  const {
    agent = false,
    host = "counter.example",
    path = "/stock/1",
    method = "POST",
    body = "",
    deadlineMs = 1_000,
    giveUpMs = deadlineMs + 500,
    headers = {},
    key = "key-1",
    id = `r${process.pid}-${nextRequest++}`,
  } = options;
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const finish = (status, text = "", why = "", head = {}) => {
      clearTimeout(timer);
      resolve({ id, status, text, why, headers: head, ms: performance.now() - startedAt });
    };
    const req = http.request({
      host: HOST,
      port: entry.port,
      method,
      path,
      agent,
      headers: {
        host,
        "x-wisteriapick-request-id": id,
        "x-wisteriapick-deadline-ms": deadlineMs,
        authorization: `Bearer ${key}`,
        "content-length": Buffer.byteLength(body),
        ...headers,
      },
    }, (res) => {
      const chunks = [];
      res.on("data", (chunk) => chunks.push(chunk));
      res.on(
        "end",
        () => finish(res.statusCode, Buffer.concat(chunks).toString(), "", res.headers),
      );
      res.on("error", (e) => finish(null, "", e.message));
    });
    const timer = setTimeout(() => {
      req.destroy();
      finish(null, "", `no answer after ${giveUpMs} ms`);
    }, giveUpMs);
    req.on("error", (e) => finish(null, "", e.message));
    req.end(body);
  });
}

/** A configuration with one plain service, in the form of PROTOCOL.md. */
export function plainConfig(extra = {}) {
  return {
    version: 10,
    routes: [
      {
        name: "stock-check",
        hostname: "counter.example",
        path_prefix: "/stock/",
        service: "counter",
        kind: "idempotent",
        timeout_ms: 1_000,
        target_latency_ms: 121,
        max_attempts: 2,
        priority: 1,
      },
      {
        name: "reprint-order",
        hostname: "counter.example",
        path_prefix: "/order/",
        service: "counter",
        kind: "non_idempotent",
        timeout_ms: 1_000,
        target_latency_ms: 121,
        max_attempts: 2,
        priority: 0,
      },
    ],
    services: [{ name: "counter", health_path: "/health", max_connections: 96 }],
    tenants: [{ name: "tenant-1", api_keys: ["key-1"] }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    ...extra,
  };
}

/** One model server of a streaming service: it answers each request with a few events. */
export class EngineServer extends AppServer {
  constructor(options) {
    super({ slots: 24, workMs: 5, events: 3, gapMs: 20, ...options });
    this.events = options.events ?? 3;
    this.gapMs = options.gapMs ?? 20;
    this.handle ??= (_req, res, { id }) => this.#stream(res, id);
  }

  async #stream(res, id) {
    res.writeHead(200, {
      "content-type": "text/event-stream",
      "x-wisteriapick-request-id": id,
      "x-wisteriapick-server-seal": `seal.${this.id}.${id}`,
    });
    for (let event = 1; event <= this.events && !res.destroyed; event++) {
      if (event > 1) await sleep(this.gapMs);
      res.write(`id: ${event}\ndata: ${this.id} ${id}\n\n`);
    }
    res.end();
  }
}

/** {@link plainConfig} with a streaming service besides. */
export function streamConfig(extra = {}) {
  const config = plainConfig(extra);
  config.routes.push({
    name: "submission-sort",
    hostname: "scribe.example",
    path_prefix: "/sort/",
    service: "scribe",
    kind: "streaming",
    timeout_ms: 6_000,
    target_latency_ms: 1_500,
    gap_aim_ms: 180,
    max_attempts: 2,
    priority: 1,
    session_affinity: true,
  });
  config.services.push({
    name: "scribe",
    health_path: "/health",
    max_connections: 232,
    engine: { slots: 24, kv_capacity_tokens: 34_282, stride: 4, moves: false },
  });
  return config;
}
