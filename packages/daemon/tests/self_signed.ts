/**
 * Generates self-signed certificates for tests, so that the repository contains no private key.
 *
 * @module
 */
import { generateKeyPairSync, sign } from "node:crypto";

function der(tag: number, ...parts: Uint8Array[]): Buffer {
  const body = Buffer.concat(parts);
  const { length } = body;
  const size = length < 0x80
    ? [length]
    : length < 0x100
    ? [0x81, length]
    : [0x82, length >> 8, length & 0xff];
  return Buffer.concat([Buffer.from([tag, ...size]), body]);
}

const SEQUENCE = 0x30;
const SET = 0x31;
const INTEGER = 0x02;
const OID = 0x06;
const UTF8 = 0x0c;
const UTC_TIME = 0x17;
const BIT_STRING = 0x03;
const VERSION = 0xa0;

const ECDSA_WITH_SHA256 = Buffer.from("2a8648ce3d040302", "hex");
const COMMON_NAME = Buffer.from("550403", "hex");

function pem(label: string, bytes: Buffer): string {
  const lines = bytes.toString("base64").match(/.{1,64}/g)!.join("\n");
  return `-----BEGIN ${label}-----\n${lines}\n-----END ${label}-----\n`;
}

/** Generates a key and a self-signed certificate for `name`, both PEM-encoded. */
export function makeSelfSigned(name: string): { key: string; cert: string } {
  const { privateKey, publicKey } = generateKeyPairSync("ec", { namedCurve: "P-256" });
  const algorithm = der(SEQUENCE, der(OID, ECDSA_WITH_SHA256));
  const attribute = der(SEQUENCE, der(OID, COMMON_NAME), der(UTF8, Buffer.from(name)));
  const subject = der(SEQUENCE, der(SET, attribute));
  const times = ["200101000000Z", "491231235959Z"].map((t) => der(UTC_TIME, Buffer.from(t)));
  const body = der(
    SEQUENCE,
    der(VERSION, der(INTEGER, Buffer.from([2]))),
    der(INTEGER, Buffer.from([1])),
    algorithm,
    subject,
    der(SEQUENCE, ...times),
    subject,
    publicKey.export({ type: "spki", format: "der" }),
  );
  const signature = der(BIT_STRING, Buffer.from([0]), sign("sha256", body, privateKey));
  return {
    key: privateKey.export({ type: "pkcs8", format: "pem" }) as string,
    cert: pem("CERTIFICATE", der(SEQUENCE, body, algorithm, signature)),
  };
}
