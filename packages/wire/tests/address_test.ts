import assert from "node:assert/strict";
import { connect, createServer } from "node:net";
import { test } from "node:test";
import { WpFailure } from "@wisteriapick/core";
import fc from "fast-check";
import { Client } from "undici";
import { type Address, formatAddress, parseAddress, parseRemoteAddress } from "../src/mod.ts";

const SEED = 44;
const RUNS = 1_000;
const LISTEN_RUNS = 100;

/** Hosts as odd writers might write them: mostly addresses, with what may come around and inside them. */
const host = fc.oneof(
  fc.ipV4(),
  fc.ipV6(),
  fc.ipV4().map((v4) => `::ffff:${v4}`),
  fc.ipV4Extended(),
  fc.domain(),
  fc.constantFrom("::", "::1", "0.0.0.0", "127.0.0.1", "fe80::1", "ff02::1", "010.0.0.1", "1.2.3"),
  fc.array(fc.constantFrom(..."0123456789abcdefF:.%[]/@?# \t\n\u0661\uff11\u3002-x"), {
    maxLength: 24,
  }).map((chars) => chars.join("")),
);
const suffix = fc.oneof(
  { weight: 3, arbitrary: fc.constant("") },
  fc.constantFrom("%eth0", "%25eth0", "%1", "%", "%25", "/64", ".", " ", "\u0000", "#", "?x", "@"),
  fc.string({ maxLength: 6, unit: "grapheme" }),
);
const port = fc.oneof(
  fc.integer({ min: 0, max: 70_000 }).map(String),
  fc.constantFrom("", "0", "00080", "65535", "65536", "-1", "1e3", "0x50", " 80", "\u0661"),
);
const bracketed = fc.oneof(fc.ipV6(), fc.ipV4().map((v4) => `::ffff:${v4}`)).map((v6) => `[${v6}]`);
const addressText = fc.oneof(
  fc.tuple(fc.oneof(fc.ipV4(), bracketed), fc.integer({ min: 0, max: 65_535 })).map((parts) =>
    parts.join(":")
  ),
  fc.tuple(host, suffix, port).map(([h, s, p]) => `${h}${s}:${p}`),
  fc.tuple(host, suffix, port).map(([h, s, p]) => `[${h}${s}]:${p}`),
  fc.string({ unit: "grapheme" }),
);

/** The address in a text; `null` if the text is refused as one. */
function parsed(text: string, parse = parseAddress): Address | null {
  try {
    return parse(text);
  } catch (e) {
    assert.ok(e instanceof WpFailure && e.err.type === "unreachable");
    return null;
  }
}

/** Lets the client open its connection to an address, without anything being sent. */
async function assertClientUses(address: Address): Promise<void> {
  const client = new Client(`http://${formatAddress(address)}`, {
    connect: (_options, callback) => callback(new Error("not connected"), null),
  });
  await assert.rejects(client.request({ method: "GET", path: "/" }), /not connected/);
  await client.destroy();
}

/** Listens at an address, on any port; the host may not have the address. */
function listenAt({ host }: Address): Promise<void> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve());
    server.listen({ host, port: 0 }, () => server.close(() => resolve()));
  });
}

// Guards against an address that passes this check and makes what uses it raise (LOST, issue 44).
test("whatever is accepted as an address can be used in a URL, by the client and by sockets", async () => {
  let accepted = 0;
  await fc.assert(
    fc.asyncProperty(addressText, async (text) => {
      const address = parsed(text);
      if (address === null) return;
      accepted++;
      assert.ok(new URL(`http://${formatAddress(address)}`).hostname.length > 0);
      await assertClientUses(address);
      // Destroyed before it connects, so that nothing leaves this host.
      connect({ ...address }).on("error", () => {}).destroy();
    }),
    { seed: SEED, numRuns: RUNS },
  );
  assert.ok(accepted > RUNS / 10, `only ${accepted} texts were accepted`);
});

test("whatever is accepted as an address can be listened at without an error being raised", async () => {
  await fc.assert(
    fc.asyncProperty(addressText, async (text) => {
      const address = parsed(text);
      if (address !== null) await listenAt(address);
    }),
    { seed: SEED, numRuns: LISTEN_RUNS },
  );
});

// Guards against an address that is another one after it has gone through the settings or the store.
test("an address stays the same when it is formatted and parsed again", () => {
  fc.assert(
    fc.property(addressText, (text) => {
      const address = parsed(text);
      if (address !== null) assert.deepEqual(parseAddress(formatAddress(address)), address);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test("zone ids, host names, other forms of IPv4 addresses and ports out of range are refused", () => {
  const refused = [
    "[fe80::1%eth0]:7300",
    "[::1%lo]:7300",
    "[fe80::1%25eth0]:7300",
    "[::1%]:7300",
    "::1:7300",
    "[127.0.0.1]:7300",
    "010.0.0.1:7300",
    "127.1:7300",
    "0x7f.0.0.1:7300",
    "localhost:7300",
    "127.0.0.1:65536",
    "127.0.0.1:",
    "127.0.0.1",
    "\uff11\uff12\uff17.0.0.1:7300",
    "",
  ];
  assert.deepEqual(refused.filter((text) => parsed(text) !== null), []);
});

// Guards against requests that go to this host itself, or nowhere, because of a registration (issue 44).
test("unspecified, multicast, broadcast and link-local addresses are no other process's", () => {
  const refused = [
    "0.0.0.0:7300",
    "0.1.2.3:7300",
    "[::]:7300",
    "[0:0:0:0:0:0:0:0]:7300",
    "[::ffff:0.0.0.0]:7300",
    "[::ffff:0:0]:7300",
    "224.0.0.1:7300",
    "[::ffff:224.0.0.1]:7300",
    "255.255.255.255:7300",
    "[ff02::1]:7300",
    "[fe80::1]:7300",
    "[FE80::1]:7300",
    "127.0.0.1:0",
    "[::1%lo]:7300",
  ];
  assert.deepEqual(refused.filter((text) => parsed(text, parseRemoteAddress) !== null), []);
});

// Guards against a check that leaves out endpoints that can be reached.
test("unicast addresses are taken, IPv4-mapped ones and those of loopback too", () => {
  const taken = [
    "127.0.0.1:1",
    "10.0.0.1:7300",
    "169.254.1.1:7300",
    "[::1]:7300",
    "[fd00::7]:7300",
    "[::ffff:10.0.0.1]:7300",
    "[2001:DB8::1]:65535",
  ];
  assert.deepEqual(taken.filter((text) => parsed(text, parseRemoteAddress) === null), []);
  assert.deepEqual(parseRemoteAddress("10.0.0.1:00080"), { host: "10.0.0.1", port: 80 });
});
