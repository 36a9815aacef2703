import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, Rng } from "@wisteriapick/core";
import { encodeMessage, type GatewayAddress, type Message } from "@wisteriapick/wire";
import { GatewayExchange } from "../src/peers/gateway_exchange.ts";
import { OSU } from "./fixtures.ts";

function makeAddress(name: string): GatewayAddress {
  const host = `10.0.0.${name.length}`;
  return { name, host, port: 7_000, dataCentre: OSU, processorShare: 1, linkMbps: 7 };
}

/** Exchanges that are all linked with each other. Messages arrive when the clock advances. */
function makeScene(count: number) {
  const clock = new ManualClock();
  const sentBytes = new Map<string, number>();
  const exchanges = new Map<string, GatewayExchange>();
  const known = new Map<string, Map<string, GatewayAddress>>();
  const names = Array.from({ length: count }, (_, i) => `entry-${i}`);
  const receive = (from: string, to: string, msg: Message) => {
    const exchange = exchanges.get(to)!;
    if (msg.kind === "gateways_digest") exchange.onDigest(from, msg.digest);
    if (msg.kind === "gateways_request") exchange.onRequest(from);
    if (msg.kind !== "gateways") return;
    for (const gateway of msg.gateways) known.get(to)!.set(gateway.name, gateway);
  };
  for (const [i, name] of names.entries()) {
    known.set(name, new Map([[name, makeAddress(name)]]));
    exchanges.set(
      name,
      new GatewayExchange({
        clock,
        rng: new Rng(i),
        known: () => [...known.get(name)!.values()],
        peers: () => names.filter((other) => other !== name),
        send: (peer, msg) => {
          sentBytes.set(name, (sentBytes.get(name) ?? 0) + encodeMessage(0, msg).length);
          clock.setTimer(1, () => receive(name, peer, msg));
          return true;
        },
      }),
    );
  }
  /** Opens a link between two gateways, which tell each other of themselves. */
  const link = (a: string, b: string) => {
    for (const [from, to] of [[a, b], [b, a]] as const) {
      known.get(to)!.set(from, makeAddress(from));
      exchanges.get(from)!.announce(to);
    }
  };
  return { clock, names, known, exchanges, sentBytes, link };
}

test("gateways that are linked through one seed know each other within seconds", () => {
  const { clock, names, known, exchanges, link } = makeScene(12);
  for (const exchange of exchanges.values()) exchange.start();
  for (const name of names.slice(1)) link(names[0]!, name);
  clock.advance(8_000);
  for (const name of names) assert.equal(known.get(name)!.size, 12);
});

// Guards against lists of all gateways on each link, which fill thin links when many gateways link at once.
test("the bytes of one more link do not grow with the number of gateways", () => {
  const bytesPerLink = [12, 96].map((count) => {
    const { clock, names, known, sentBytes, link } = makeScene(count);
    const everyone = names.map(makeAddress);
    for (const list of known.values()) {
      for (const gateway of everyone) list.set(gateway.name, gateway);
    }
    for (const [i, a] of names.entries()) for (const b of names.slice(i + 1)) link(a, b);
    clock.advance(1_000);
    return Math.max(...sentBytes.values()) / (count - 1);
  });
  assert.ok(bytesPerLink[1]! <= bytesPerLink[0]!, `${bytesPerLink}`);
});

test("a list has a bounded length, and a gateway requests few of them", () => {
  const { clock, names, known, exchanges, sentBytes, link } = makeScene(300);
  const [seed, joining] = names as [string, string];
  for (const name of names) known.get(seed)!.set(name, makeAddress(name));
  link(seed, joining);
  for (let i = 0; i < 20; i++) exchanges.get(seed)!.announce(joining);
  clock.advance(2_000);
  const known64 = known.get(joining)!.size;
  assert.ok(known64 >= 64 && known64 <= 132, `${known64} gateways known`);
  assert.ok(sentBytes.get(joining)! < 200);
});
