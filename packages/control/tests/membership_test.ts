import assert from "node:assert/strict";
import { test } from "node:test";
import type { HostRecord } from "@wisteriapick/clients";
import { dataCentreId, hostId, ManualClock, regionId } from "@wisteriapick/core";
import { Membership } from "../src/membership.ts";

function makeHost(name: string, entry: string): HostRecord {
  return {
    host: hostId(name),
    dataCentre: dataCentreId("accra-osu"),
    region: regionId("accra"),
    state: "live",
    entry,
  };
}

const ODD_ADDRESSES = ["entry.example:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "x", " "];

// Guards against an address in the host list by which the timer that subscribes to peers ends each process.
for (const address of ODD_ADDRESSES) {
  test(`a host with the address ${JSON.stringify(address)} is no member, and the others are`, () => {
    const membership = new Membership(new ManualClock());
    const hosts = [makeHost("tema-01", address), makeHost("tema-02", "127.0.0.1:7")];
    membership.recordHosts({ index: 1, hosts });
    assert.deepEqual(membership.members().map(({ address }) => address), ["127.0.0.1:7"]);
  });
}
