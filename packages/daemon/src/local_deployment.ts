/**
 * The Kente Lane deployment: ten model engines and three instances of a plain service over three data centres.
 *
 * @module
 */
import { createHash } from "node:crypto";
import {
  type DataCentreId,
  dataCentreId,
  type EndpointId,
  endpointId,
  type HostId,
  hostId,
  type RegionId,
  regionId,
  type ServiceId,
  serviceId,
} from "@wisteriapick/core";
import { type ConfigDocument, ConfigDocumentSchema } from "@wisteriapick/control";

/** One endpoint host of a deployment. */
export interface LocalHost {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly region: RegionId;
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly kind: "model" | "plain";
}

/** Bearer key of a client account in the local system. Keys of real deployments are random. */
export function localKey(account: string): string {
  return `local-${account}`;
}

export const KENTE_DATA_CENTRES = ["accra-osu", "accra-tema", "accra-legon"] as const;
export const KENTE_REGION = regionId("accra");
/** Client accounts, the first two of them large. */
export const KENTE_ACCOUNTS = [
  "national-museum",
  "castle-shops",
  "museum-shop",
  "kumasi-centre",
  "legon-gallery",
  "tema-harbour-shop",
  "cape-coast-museum",
  "elmina-shop",
  "volta-gallery",
  "tamale-centre",
] as const;
const LARGE_ACCOUNTS = 2;
const SCRIBE_COUNT = 10;
const COUNTER_COUNT = 3;

/** The endpoint hosts, distributed evenly over the data centres. */
export function kenteHosts(): LocalHost[] {
  return [
    ...Array.from({ length: SCRIBE_COUNT }, (_, i) => makeHost("scribe", "model", i)),
    ...Array.from({ length: COUNTER_COUNT }, (_, i) => makeHost("counter", "plain", i)),
  ];
}

function makeHost(service: string, kind: "model" | "plain", i: number): LocalHost {
  const name = `${service}-${String(i + 1).padStart(2, "0")}`;
  return {
    host: hostId(`host-${name}`),
    dataCentre: dataCentreId(KENTE_DATA_CENTRES[i % KENTE_DATA_CENTRES.length]!),
    region: KENTE_REGION,
    endpoint: endpointId(name),
    service: serviceId(service),
    kind,
  };
}

/** The configuration document of the deployment. */
export function kenteDocument(): ConfigDocument {
  return ConfigDocumentSchema.parse({
    services: [
      {
        id: "scribe",
        kind: "model",
        versions: [{ id: "v1", model: "scribe-7b" }],
        activeVersion: "v1",
      },
      {
        id: "counter",
        kind: "plain",
        versions: [{ id: "v1" }],
        activeVersion: "v1",
        routes: [
          { method: "GET", path: "/stock/:item", repeatable: true },
          { method: "POST", path: "/orders", repeatable: false },
          { method: "POST", path: "/echo", repeatable: true },
        ],
      },
    ],
    accounts: [
      ...KENTE_ACCOUNTS.map((id, i) => ({
        id,
        keyHashes: [hashOf(localKey(id))],
        weight: i < LARGE_ACCOUNTS ? 4 : 1,
      })),
      { id: "operator", role: "operator", keyHashes: [hashOf(localKey("operator"))] },
    ],
    dataCentres: KENTE_DATA_CENTRES.map((id) => ({ id, region: KENTE_REGION })),
    endpoints: kenteHosts().map((h) => ({
      id: h.endpoint,
      service: h.service,
      version: "v1",
      enforcesFence: h.kind === "model",
    })),
  });
}

function hashOf(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}
