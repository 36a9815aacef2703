/** Runs apart from other test files (scripts/test.mjs), as it checks the memory of a loaded process. */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { afterEach, test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import {
  Crowd,
  DescriptorWatch,
  MemoryWatch,
  requestsAhead,
  unendedBody,
} from "@wisteriapick/standins";
import { parseAddress } from "@wisteriapick/wire";

const BIN = fileURLToPath(new URL("../../bin/wisteriapick.js", import.meta.url));
/** Memory of a side's host, in MiB; the process is killed over it. It runs the whole system. */
const MEMORY_MB = 282;
const HEAP_MB = 180;
const STANDINS_HEAP_MB = 110;
const ANY_PORT = "127.0.0.1:0";
const STANDINS_SETTINGS = fileURLToPath(
  new URL("../../../../examples/kente_lane/standins.yaml", import.meta.url),
);
/** Descriptors that the process may have open. */
const MAX_DESCRIPTORS = 600;
const TIMEOUT_MS = 100_000;
const CALLERS = 150;
/** Connections of a crowd that are more than the descriptors. */
const MANY_CALLERS = 900;
const REQUESTS_AHEAD = 10_000;
const COMPLETIONS_AHEAD = 400;
const KEY = "local-museum-shop";
const FIELDS = `Host: local.example\r\nAuthorization: Bearer ${KEY}\r\n`;
const OPERATOR_FIELDS = "Host: local.example\r\nAuthorization: Bearer local-operator\r\n";

let child: ChildProcess;
let exit: string | null;
let output = "";
let address: { readonly host: string; readonly port: number };
let memory: MemoryWatch;
let descriptors: DescriptorWatch;
let crowd: Crowd;
/** What the present test does, for one that does not end. */
let phase = "";

/** Starts the command with a heap, and waits until it has printed a line. Returns the pattern's first group. */
async function startProgram(heapMb: number, args: string[], pattern: RegExp): Promise<string> {
  phase = "start of the program";
  exit = null;
  output = "";
  child = spawn(process.execPath, [`--max-old-space-size=${heapMb}`, BIN, ...args], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  child.once("exit", (code, signal) => exit = `code ${code}, signal ${signal}`);
  child.stdout!.on("data", (bytes) => output += bytes);
  child.stderr!.on("data", (bytes) => output += bytes);
  const watched = { pid: () => child.pid, kill: () => child.kill("SIGKILL") };
  memory = new MemoryWatch(watched, ({ residentMb }) => residentMb > MEMORY_MB);
  descriptors = new DescriptorWatch(watched);
  for (;;) {
    const found = pattern.exec(output)?.[1];
    if (found !== undefined) return found;
    assert.equal(exit, null, output);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

/** Starts the local system, and waits until it answers. */
async function startLocal(): Promise<void> {
  const limits = [`--memory-mb=${MEMORY_MB}`, `--max-descriptors=${MAX_DESCRIPTORS}`];
  const url = new URL(
    await startProgram(HEAP_MB, ["local", "--port", "0", ...limits], /^entry: (\S+)\n/),
  );
  address = { host: url.hostname, port: Number(url.port) };
  phase = "first answer";
  await untilAnswered();
}

afterEach(async (t) => {
  (t as TestContext).diagnostic(`the last phase was: ${phase}`);
  crowd.close();
  memory.stop();
  descriptors.stop();
  if (exit !== null) return;
  child.kill("SIGKILL");
  await once(child, "exit");
});

/** Asks for one short completion, on a connection of its own; returns whether it succeeds. */
async function isAnswered(): Promise<boolean> {
  try {
    const res = await fetch(`http://${address.host}:${address.port}/v1/chat/completions`, {
      method: "POST",
      headers: {
        authorization: "Bearer local-elmina-shop",
        "content-type": "application/json",
        connection: "close",
      },
      body: JSON.stringify({
        model: "scribe",
        messages: [{ role: "user", content: "Describe a postcard [tokens=4]" }],
      }),
    });
    await res.text();
    return res.status === 200;
  } catch {
    return false;
  }
}

/** Checks the stock of one item, on a connection of its own; returns whether that succeeds. */
async function isStockAnswered(): Promise<boolean> {
  const headers = { authorization: "Bearer local-elmina-shop", connection: "close" };
  const url = `http://${address.host}:${address.port}/services/counter/stock/kente-7`;
  const res = await fetch(url, { headers }).catch(() => null);
  await res?.arrayBuffer();
  return res?.status === 200;
}

/** Asks one time after the other until it succeeds. The test's timeout is the only one. */
async function untilAnswered(isServed = isAnswered): Promise<void> {
  while (!(await isServed())) {
    assertAlive();
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
}

function assertAlive(): void {
  const peaks = JSON.stringify({ ...memory.peak, descriptors: descriptors.peak });
  assert.equal(memory.hasKilled, false, `over ${MEMORY_MB} MiB: ${peaks}`);
  assert.equal(exit, null, `${peaks} ${output}`);
  assert.ok(descriptors.peak <= MAX_DESCRIPTORS, `over ${MAX_DESCRIPTORS} descriptors: ${peaks}`);
}

/** Checks that the system serves others beside a crowd and after it, within the memory and descriptors of its host. */
async function assertOutlives(
  { callers, bytesOf, isReading = false, isServed = isAnswered, targetOf = () => address }: {
    readonly callers: number;
    readonly bytesOf: (i: number) => Buffer;
    readonly isReading?: boolean;
    readonly isServed?: () => Promise<boolean>;
    /** Returns the address that the crowd connects to; that of the entry by default. */
    readonly targetOf?: () => typeof address | Promise<typeof address>;
  },
): Promise<void> {
  await startLocal();
  await untilAnswered(isServed);
  phase = "crowd";
  crowd = new Crowd(await targetOf(), { isReading });
  for (let i = 0; i < callers; i++) crowd.add(() => bytesOf(i));
  await crowd.settle(assertAlive);
  phase = "answer beside the crowd";
  await untilAnswered(isServed);
  assertAlive();
  phase = "answer after the crowd";
  crowd.close();
  await untilAnswered(isServed);
  assertAlive();
}

const SHORT_REQUESTS: Readonly<Record<string, readonly [path: string, fields: string]>> = {
  "lists of models": ["/v1/models", FIELDS],
  "the health": ["/healthz", "Host: local.example\r\n"],
  "metrics": ["/metrics", "Host: local.example\r\n"],
  "the operators' dump": ["/admin/dump", OPERATOR_FIELDS],
  "the operators' events": ["/admin/events?wait_ms=20000", OPERATOR_FIELDS],
  "completions with unknown keys": [
    "/v1/chat/completions",
    "Host: local.example\r\nAuthorization: Bearer unknown\r\n",
  ],
};

for (const [what, [path, fields]] of Object.entries(SHORT_REQUESTS)) {
  const bytes = requestsAhead({
    requestLine: `GET ${path}`,
    fieldsOf: () => fields,
    count: REQUESTS_AHEAD,
  });

  // Guards against requests that one connection has in progress without end, and against responses that fill the memory.
  test(`the local system outlives requests for ${what} whose responses are not read`, {
    timeout: TIMEOUT_MS,
  }, async () => {
    await assertOutlives({ callers: CALLERS, bytesOf: () => bytes });
  });
}

// Guards against generations that one connection has in progress without end.
for (const isStreamed of [true, false]) {
  test(`the local system outlives completions with stream ${isStreamed} that are sent ahead`, {
    timeout: TIMEOUT_MS,
  }, async () => {
    const content = `${"a description ".repeat(200)}[tokens=2000]`;
    const body = JSON.stringify({
      model: "scribe",
      stream: isStreamed,
      max_tokens: 2_000,
      messages: [{ role: "user", content }],
    });
    const bytes = requestsAhead({
      requestLine: "POST /v1/chat/completions",
      fieldsOf: () => `${FIELDS}Content-Length: ${body.length}\r\n`,
      count: COMPLETIONS_AHEAD,
      body,
    });
    await assertOutlives({ callers: CALLERS, bytesOf: () => bytes });
  });
}

const BODIES: Readonly<Record<string, readonly [path: string, fields: string, bytes: number]>> = {
  completions: ["/v1/chat/completions", FIELDS, 500_000],
  plans: ["/admin/plans", OPERATOR_FIELDS, 900_000],
  "calls with a key": ["/services/counter/orders", `${FIELDS}Idempotency-Key: k-`, 900_000],
};

for (const [what, [path, fields, bytes]] of Object.entries(BODIES)) {
  for (const chunkBytes of [16_384, 1]) {
    // Guards against bodies that keep all memory, as each of them is within its own limit.
    test(`the local system outlives bodies of ${what} in chunks of ${chunkBytes} bytes that stop`, {
      timeout: TIMEOUT_MS,
    }, async () => {
      const size = chunkBytes === 1 ? bytes / 8 : bytes;
      const bytesOf = (i: number) => {
        const own = fields.endsWith("k-") ? `${fields}${i}\r\n` : fields;
        return unendedBody({ path, fields: own, bytes: size, chunkBytes });
      };
      await assertOutlives({ callers: chunkBytes === 1 ? CALLERS : 3 * CALLERS, bytesOf });
    });
  }
}

// Guards against calls that take every place of a service for as long as their bodies do not end.
test("the local system outlives calls whose bodies stop, and answers calls of others", {
  timeout: TIMEOUT_MS,
}, async () => {
  const bytesOf = () =>
    unendedBody({
      path: "/services/counter/orders",
      fields: FIELDS,
      bytes: 200_000,
      chunkBytes: 4_096,
    });
  await assertOutlives({ callers: CALLERS, bytesOf, isServed: isStockAnswered });
});

// Guards against bytes that reach a parser which the server has given up; an error there ends the process.
test("the local system outlives requests for tunnels with others behind them", {
  timeout: TIMEOUT_MS,
}, async () => {
  const tunnel = "CONNECT a:443 HTTP/1.1\r\nHost: a:443\r\n\r\n";
  const bytes = Buffer.from(tunnel + `GET /healthz HTTP/1.1\r\n${FIELDS}\r\n`.repeat(100));
  await assertOutlives({ callers: CALLERS, bytesOf: () => bytes });
});

// Guards against connections without a request that take all descriptors.
test("the local system outlives heads that stop before their end", {
  timeout: TIMEOUT_MS,
}, async () => {
  const head = Buffer.from(`GET /v1/models HTTP/1.1\r\n${FIELDS}X-Long: ${"x".repeat(12_000)}`);
  await assertOutlives({ callers: MANY_CALLERS, bytesOf: () => head });
});

/** Returns the address at which a side accepts links. */
async function linkAddressOfSide(): Promise<typeof address> {
  const res = await fetch(`http://${address.host}:${address.port}/admin/dump`, {
    headers: { authorization: "Bearer local-operator", connection: "close" },
  });
  const { directory } = await res.json() as { directory: Record<string, { side: string }> };
  return parseAddress(directory["scribe-01"]!.side);
}

const LINK_BYTES: Readonly<Record<string, Buffer>> = {
  "nothing": Buffer.alloc(0),
  "a part of a frame": Buffer.from([0, 0, 15, 255, 1, 2, 3]),
  "HTTP requests": Buffer.from(`GET / HTTP/1.1\r\n${FIELDS}\r\n`.repeat(100)),
};

for (const [what, bytes] of Object.entries(LINK_BYTES)) {
  // Guards against connections without a handshake that take the descriptors of a side's process.
  test(`the local system outlives connections to a side's link port that send ${what}`, {
    timeout: TIMEOUT_MS,
  }, async () => {
    await assertOutlives({
      callers: MANY_CALLERS,
      bytesOf: () => bytes,
      targetOf: linkAddressOfSide,
    });
  });
}

// Guards against stand-ins that end beside a crowd, and with them all that is tried against them.
test("the stand-ins outlive requests for the hosts whose responses are not read", {
  timeout: TIMEOUT_MS,
}, async (t) => {
  const dir = mkdtempSync(`${tmpdir()}/wisteriapick-standins-test-`);
  t.after(() => rmSync(dir, { recursive: true }));
  const settings = readFileSync(STANDINS_SETTINGS, "utf8").replace(/127\.0\.0\.1:\d+/g, ANY_PORT);
  writeFileSync(`${dir}/standins.yaml`, settings);
  const origin = await startProgram(
    STANDINS_HEAP_MB,
    ["standins", `${dir}/standins.yaml`],
    /^standins: store \S+ hosts (\S+)\n/,
  );
  const { hostname, port } = new URL(origin);
  const isServed = async () => {
    const res = await fetch(`${origin}/v1/hosts`, { headers: { connection: "close" } })
      .catch(() => null);
    await res?.arrayBuffer();
    return res?.status === 200;
  };
  const bytes = requestsAhead({
    requestLine: "GET /v1/hosts",
    fieldsOf: () => "Host: hosts.example\r\n",
    count: REQUESTS_AHEAD,
  });
  crowd = new Crowd({ host: hostname, port: Number(port) });
  for (let i = 0; i < CALLERS; i++) crowd.add(() => bytes);
  await crowd.settle(assertAlive);
  while (!(await isServed())) assertAlive();
  assertAlive();
  crowd.close();
  while (!(await isServed())) assertAlive();
  assertAlive();
});
