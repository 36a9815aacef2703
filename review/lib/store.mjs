/** A small stand-in for the platform's store: objects by kind and name, revisions, lists and watches. */
import { createServer } from "node:http";

const PREFIX = "/api/objects/";

export class Store {
  #kinds = new Map();
  #events = [];
  #watches = new Set();
  #revision = 1;
  /** `none`, or `silent`: calls are accepted and never answered. */
  fault = "none";

  constructor() {
    this.server = createServer((req, res) => this.#onRequest(req, res));
  }

  async listen() {
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Ends open calls without an answer and answers none until `restore`. */
  silence() {
    this.fault = "silent";
    this.#watches.clear();
  }

  restore() {
    this.fault = "none";
    this.server.closeAllConnections();
  }

  get(kind, name) {
    return this.#kinds.get(kind)?.get(name);
  }

  put(kind, name, part) {
    const old = this.get(kind, name);
    const revision = ++this.#revision;
    const object = {
      metadata: {
        name,
        revision,
        create_revision: old?.metadata.create_revision ?? revision,
        finalizers: [],
        deleting: false,
      },
      spec: part.spec ?? old?.spec ?? {},
      status: part.status ?? old?.status ?? null,
    };
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    this.#kinds.get(kind).set(name, object);
    this.#publish({ kind, revision, object, deleted: false });
    return object;
  }

  delete(kind, name) {
    const object = this.get(kind, name);
    if (object === undefined) return;
    this.#kinds.get(kind).delete(name);
    this.#publish({ kind, revision: ++this.#revision, object, deleted: true });
  }

  #publish(event) {
    this.#events.push(event);
    for (const watch of [...this.#watches]) if (watch.kind === event.kind) watch.answer();
  }

  async #onRequest(req, res) {
    let text = "";
    for await (const chunk of req) text += chunk;
    if (this.fault === "silent") return;
    const url = new URL(req.url, "http://store");
    const [kind, name, part] = url.pathname.slice(PREFIX.length).split("/").map(decodeURIComponent);
    if (req.method === "GET" && name === undefined) {
      const from = url.searchParams.get("watch");
      if (from === null) {
        return send(res, 200, this.#list(kind, url.searchParams.get("after") ?? ""));
      }
      return this.#watch(res, kind, Number(from), Number(url.searchParams.get("wait_ms") ?? 0));
    }
    const old = name === undefined ? undefined : this.get(kind, name);
    if (req.method === "GET") return old === undefined ? send(res, 404, {}) : send(res, 200, old);
    const body = text === "" ? {} : JSON.parse(text);
    if (req.method === "POST") {
      const known = this.get(kind, body.metadata.name);
      if (known !== undefined) return send(res, 409, known);
      return send(res, 200, this.put(kind, body.metadata.name, { spec: body.spec }));
    }
    if (old === undefined) return send(res, 404, {});
    const expected = body.metadata?.revision ?? url.searchParams.get("revision");
    if (expected !== null && expected !== undefined && Number(expected) !== old.metadata.revision) {
      return send(res, 409, old);
    }
    if (req.method === "DELETE") {
      this.delete(kind, name);
      return send(res, 200, {});
    }
    const change = part === "status" ? { status: body.status } : { spec: body.spec };
    return send(res, 200, this.put(kind, name, change));
  }

  #list(kind, after) {
    const items = [...this.#kinds.get(kind)?.values() ?? []]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
    return { items, has_more: false, at: this.#revision };
  }

  #watch(res, kind, from, waitMs) {
    const changes = () => this.#events.filter((e) => e.kind === kind && e.revision > from);
    const watch = {
      kind,
      answer: () => {
        clearTimeout(timer);
        this.#watches.delete(watch);
        const events = changes().map(({ object, deleted }) => ({ object, deleted }));
        send(res, 200, { events, at: this.#revision });
      },
    };
    const timer = setTimeout(() => {
      if (this.#watches.has(watch)) watch.answer();
    }, waitMs);
    this.#watches.add(watch);
    if (changes().length > 0) watch.answer();
  }
}

function send(res, status, body) {
  if (res.destroyed) return;
  res.writeHead(status, { "Content-Type": "application/json" });
  res.end(JSON.stringify(body));
}
