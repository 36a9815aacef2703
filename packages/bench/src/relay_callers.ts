/**
 * The callers of the relay benchmark, in a worker thread: one HTTP connection for each open stream.
 *
 * @module
 */
import { Agent, type IncomingMessage, request } from "node:http";
import { parentPort, workerData } from "node:worker_threads";
import { threadCpuUs } from "./cpu.ts";
import { type Ask, type CallersData, CLIENT_KEY, PROMPT, type Tell } from "./relay_setup.ts";

const TOKEN_LINE = Buffer.from("id: ");
const DONE_LINE = Buffer.from("data: [DONE]\n\n");

const port = parentPort!;
const tell = (msg: Tell) => port.postMessage(msg);
const { url } = workerData as CallersData;
const total = { tokens: 0, bytes: 0 };
const agent = new Agent({ keepAlive: true });

/** Sends one request and counts the events of its answer. */
function call(maxTokens: number): void {
  const body = JSON.stringify({
    model: "scribe",
    stream: true,
    max_tokens: maxTokens,
    messages: [{ role: "user", content: PROMPT }],
  });
  const headers = {
    "authorization": `Bearer ${CLIENT_KEY}`,
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  };
  const req = request(`${url}/v1/chat/completions`, { method: "POST", headers, agent });
  req.on("response", (res) => count(res, maxTokens));
  req.on("error", () => tell({ kind: "ended", tokens: 0, complete: false }));
  req.end(body);
}

/** Counts token events; a chunk boundary may fall inside a line. */
function count(res: IncomingMessage, maxTokens: number): void {
  let tokens = 0;
  let tail: Buffer = Buffer.alloc(0);
  res.on("data", (chunk: Buffer) => {
    total.bytes += chunk.length;
    const buf = tail.length === 0 ? chunk : Buffer.concat([tail, chunk]);
    const end = buf.lastIndexOf("\n\n") + 2;
    let pos = buf.indexOf(TOKEN_LINE);
    while (pos >= 0 && pos < end) {
      tokens++;
      total.tokens++;
      pos = buf.indexOf(TOKEN_LINE, pos + TOKEN_LINE.length);
    }
    const last = buf.subarray(-DONE_LINE.length);
    tail = last.equals(DONE_LINE) ? last : buf.subarray(end);
  });
  res.on("error", () => {});
  res.on("close", () => {
    const complete = tokens === maxTokens && tail.equals(DONE_LINE);
    tell({ kind: "ended", tokens, complete });
  });
}

port.on("message", (msg: Ask) => {
  if (msg.kind === "cpu") tell({ kind: "cpu", us: threadCpuUs(), ...total });
  if (msg.kind === "call") call(msg.maxTokens);
  if (msg.kind === "exit") process.exit();
});
tell({ kind: "listening", addresses: [] });
