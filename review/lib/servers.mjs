/** Small stand-ins for the servers: an application service and a model server. */
import { createServer } from "node:http";

const ID = "x-wisteriapick-request-id";

/** Base of both: echoes the request's id, seals what it answers, and sends 421 to requests for another instance. */
class Server {
  #sockets = new Set();

  /** `ran` receives an entry for each request that the server begins to work on. */
  constructor({ id, ran, service, version = "v1" }) {
    Object.assign(this, { id, ran, service, version, running: new Map() });
    this.server = createServer((req, res) => this.#onRequest(req, res));
    this.server.keepAliveTimeout = 60_000;
    this.server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
  }

  async listen(port = 0) {
    await new Promise((resolve) => this.server.listen(port, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Ends as a process that crashes: its port is closed and its connections are reset. */
  crash() {
    this.server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  async #onRequest(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString("latin1");
    const path = req.url.split("?")[0];
    if (path === "/health") {
      return res.writeHead(200, { "X-Wisteriapick-Instance-Id": this.id }).end();
    }
    if (path.startsWith("/api/")) return this.control(req, res, path, body);
    const id = req.headers[ID] ?? "";
    const head = { "X-Wisteriapick-Request-Id": id };
    const expected = req.headers["x-wisteriapick-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return res.writeHead(421, { ...head, "X-Wisteriapick-Instance-Id": this.id }).end();
    }
    this.run(req, res, {
      id,
      body,
      head: { ...head, "X-Wisteriapick-Server-Seal": `${this.id}.${id}` },
    });
  }

  control(_req, res) {
    res.writeHead(404).end();
  }
}

/** An application service that takes `workMs` for each request. */
export class AppServer extends Server {
  constructor({ workMs = 20, ...options }) {
    super(options);
    this.workMs = workMs;
  }

  run(req, res, { id, body, head }) {
    this.ran.push({
      id,
      server: this.id,
      atMs: Math.round(performance.now()),
      path: req.url,
      body,
    });
    setTimeout(() => {
      const text = `${this.id} did ${req.method} ${req.url} for ${id}`;
      res.writeHead(200, { ...head, "Content-Length": text.length });
      res.end(text);
    }, this.workMs);
  }
}

/** A model server that sends one event each `eventMs`. The last part of the path is the number of events. */
export class ModelServer extends Server {
  /**
   * `fails` says of a request's id whether the server answers it with a 500 of its own. `onBegin` is called when the
   * server begins to answer a request, before it sends anything.
   */
  constructor(
    { eventMs = 40, firstMs = 100, fails = () => false, onBegin = () => {}, ...options },
  ) {
    super(options);
    Object.assign(this, { eventMs, firstMs, fails, onBegin });
  }

  run(req, res, { id, head }) {
    const total = Number(/(\d+)[^/]*$/.exec(req.url)?.[1] ?? 3);
    let sent = 0;
    let timer = null;
    const next = () => {
      if (sent === 0) this.onBegin(this, req);
      if (res.destroyed) return;
      if (this.fails(id)) {
        this.running.delete(id);
        return res.writeHead(500, { ...head, "Content-Length": 6 }).end("failed");
      }
      if (sent === 0) res.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
      sent++;
      res.write(`id: ${sent}\ndata: ${id} piece ${sent} of ${total}\n\n`);
      if (sent < total) timer = setTimeout(next, this.eventMs);
      else {
        this.running.delete(id);
        res.end();
      }
    };
    const lastEventId = req.headers["last-event-id"] ?? null;
    const atMs = Math.round(performance.now());
    this.ran.push({ id, server: this.id, atMs, path: req.url, lastEventId });
    this.running.set(id, () => sent);
    res.once("close", () => {
      clearTimeout(timer);
      this.running.delete(id);
    });
    timer = setTimeout(next, this.firstMs);
  }

  control(_req, res, path) {
    if (path !== "/api/report") return res.writeHead(404).end();
    const runs = [...this.running].map(([id, sent]) => [id, 500, sent(), 5]);
    const report = {
      stage: "both",
      models: [{ name: "m", version: 1, adapters: [] }],
      busy: false,
      sequence: 1,
      waiting: 0,
      running: runs.length,
      kv_used: 500 * runs.length,
      kv_total: 34_282,
      handles: 0,
      state: "ready",
      runs,
    };
    res.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(report));
  }
}
