/**
 * The callers of the relay benchmark, in a worker thread: one HTTP connection for each open stream.
 *
 * @module
 */
import { Agent, type IncomingMessage, request } from "node:http";
import { parentPort, workerData } from "node:worker_threads";
import { threadCpuUs } from "./cpu.ts";
import {
  type CallersData,
  CLIENT_KEY,
  type LoadThreadCommand,
  type LoadThreadMessage,
  PROMPT,
} from "./relay_setup.ts";

const TOKEN_LINE = Buffer.from("id: ");
const DONE_LINE = Buffer.from("data: [DONE]\n\n");

const port = parentPort!;
const postMessage = (msg: LoadThreadMessage) => port.postMessage(msg);
const { url } = workerData as CallersData;
const total = { tokens: 0, bytes: 0 };
const agent = new Agent({ keepAlive: true });

/** Sends one request and counts the token events of its response. */
function sendRequest(maxTokens: number): void {
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
  req.on("response", (res) => countTokens(res, maxTokens));
  req.on("error", () => postMessage({ kind: "ended", tokens: 0, complete: false }));
  req.end(body);
}

/** Counts token events; a chunk boundary may fall inside a line. */
function countTokens(res: IncomingMessage, maxTokens: number): void {
  let tokens = 0;
  let incomplete: Buffer = Buffer.alloc(0);
  res.on("data", (chunk: Buffer) => {
    total.bytes += chunk.length;
    const buf = incomplete.length === 0 ? chunk : Buffer.concat([incomplete, chunk]);
    const end = buf.lastIndexOf("\n\n") + 2;
    let pos = buf.indexOf(TOKEN_LINE);
    while (pos >= 0 && pos < end) {
      tokens++;
      total.tokens++;
      pos = buf.indexOf(TOKEN_LINE, pos + TOKEN_LINE.length);
    }
    const last = buf.subarray(-DONE_LINE.length);
    incomplete = last.equals(DONE_LINE) ? last : buf.subarray(end);
  });
  res.on("error", () => {});
  res.on("close", () => {
    const complete = tokens === maxTokens && incomplete.equals(DONE_LINE);
    postMessage({ kind: "ended", tokens, complete });
  });
}

port.on("message", (msg: LoadThreadCommand) => {
  if (msg.kind === "cpu") postMessage({ kind: "cpu", us: threadCpuUs(), ...total });
  if (msg.kind === "call") sendRequest(msg.maxTokens);
  if (msg.kind === "exit") process.exit();
});
postMessage({ kind: "listening", addresses: [] });
