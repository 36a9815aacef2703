/** A client as the pages describe it: one attempt per call, with an id of its own. */
import { Agent, request } from "node:http";
import { HOST, KEY } from "./system.mjs";

let count = 0;

export const newId = () => `c${(++count).toString(16).padStart(6, "0")}${process.pid.toString(16)}`;

/** An agent that keeps one connection open for many requests. */
export const keptConnection = () => new Agent({ keepAlive: true, maxSockets: 1 });

/** Sends one request. Resolves to what came back; `status` is null if the connection ended without an answer. */
export function call(
  entry,
  { method = "POST", path, body = "order", agent, deadlineMs = 1_000, headers = {}, id = newId() },
) {
  const result = {
    id,
    path,
    status: null,
    seal: null,
    body: "",
    complete: false,
    error: null,
    sentMs: performance.now(),
  };
  return new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      resolve(Object.assign(result, { endMs: performance.now() }));
    };
    const req = request({
      host: "127.0.0.1",
      port: entry.front,
      agent,
      method,
      path,
      headers: {
        Host: HOST,
        "X-Wisteriapick-Request-Id": id,
        "X-Wisteriapick-Deadline-Ms": String(deadlineMs),
        Authorization: `Bearer ${KEY}`,
        ...headers,
      },
    }, (res) => {
      result.status = res.statusCode;
      result.seal = res.headers["x-wisteriapick-server-seal"] ?? null;
      result.retryAfter = res.headers["retry-after"];
      res.on("data", (chunk) => result.body += chunk.toString("latin1"));
      res.on("end", () => {
        result.complete = res.complete;
        finish();
      });
      res.on("error", (err) => {
        result.error = err.code ?? err.message;
        finish();
      });
    });
    const timer = setTimeout(() => req.destroy(new Error("client's deadline")), deadlineMs + 500);
    req.on("error", (err) => {
      result.error = err.code ?? err.message;
      finish();
    });
    req.end(method === "GET" ? undefined : body);
  });
}

/** Asks for a stream of `events` events. */
export function draft(entry, events, { path = `/draft/${events}`, ...options } = {}) {
  const headers = {
    "X-Wisteriapick-Model": "m",
    "X-Wisteriapick-Token-Counts": `800,${4 * events}`,
    "X-Wisteriapick-Prompt-Prefix": `5c1e07a2:500,${(++count).toString(16)}:300`,
    ...options.headers,
  };
  return call(entry, { path, body: "a long draft", deadlineMs: 39_000, ...options, headers });
}
