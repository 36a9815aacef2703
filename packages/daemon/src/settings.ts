/**
 * Schemas of the processes' settings files: one YAML file for each process, distinguished by `kind`. A process reads
 * its addresses and data centre from its settings and everything else from the configuration.
 *
 * @module
 */
import {
  dataCentreId,
  endpointId,
  hostId,
  idField,
  loadSettings,
  regionId,
  serviceId,
} from "@wisteriapick/core";
import { ConfigDocumentSchema } from "@wisteriapick/control";
import { z } from "zod";

const ADDRESS_PATTERN = /^(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]+):(\d{1,5})$/;
const MAX_PORT = 65_535;
// Links authenticate with this key alone, and a shorter one could be guessed.
const MIN_CLUSTER_KEY_CHARS = 16;

const address = z.string().refine((s) => {
  const match = ADDRESS_PATTERN.exec(s);
  return match !== null && Number(match[2]) <= MAX_PORT;
}, "expected ip:port");
const origin = z.string().regex(/^https?:\/\/[^\s/]+$/, "expected http://ip:port");
const milliseconds = z.number().int().nonnegative();

/** Descriptors that an entry may have open unless its settings say so. */
const DEFAULT_MAX_DESCRIPTORS = 4_096;

const processShape = {
  host: idField(hostId, "a host id"),
  dataCentre: idField(dataCentreId, "a data centre id"),
  /** Address on which links are accepted. */
  links: address,
  clusterKey: z.string().min(
    MIN_CLUSTER_KEY_CHARS,
    `expected at least ${MIN_CLUSTER_KEY_CHARS} characters`,
  ),
  objectStore: origin,
  hostList: origin,
  seed: z.number().int().optional(),
  logLevel: z.enum(["trace", "debug", "info", "warn", "error", "silent"]).default("info"),
};

/** Settings of an entry. */
export const EntrySettingsSchema = z.object({
  kind: z.literal("entry"),
  ...processShape,
  /** Address on which callers' HTTP requests are accepted. */
  listen: address,
  tls: z.object({ key: z.string().min(1), cert: z.string().min(1) }).strict().optional(),
  /** At a planned stop, the time between failing the health check and closing the listener. */
  announceMs: milliseconds.default(3_000),
  /** Memory over which the host ends the process, in MiB; without it, buffers have their largest bounds. */
  memoryMb: z.number().positive().optional(),
  /** Descriptors that the process may have open. Callers' connections have what links and files leave. */
  maxDescriptors: z.number().int().positive().default(DEFAULT_MAX_DESCRIPTORS),
}).strict();

/** Settings of a side, which serves either a model engine (`engine`) or a plain service (`plain`). */
export const SideSettingsSchema = z.object({
  kind: z.literal("side"),
  ...processShape,
  endpoint: idField(endpointId, "an endpoint id"),
  service: idField(serviceId, "a service id"),
  engine: origin.optional(),
  plain: origin.optional(),
  /** Number of concurrent calls that a plain service sustains. */
  slots: z.number().int().positive().default(32),
}).strict().refine(
  (s) => (s.engine === undefined) !== (s.plain === undefined),
  { path: ["engine"], message: "expected exactly one of engine and plain" },
);

const HostRecordSchema = z.object({
  host: idField(hostId, "a host id"),
  dataCentre: idField(dataCentreId, "a data centre id"),
  region: idField(regionId, "a region id"),
  state: z.enum(["live", "leaving"]).default("live"),
  entry: address.optional(),
  side: address.optional(),
  endpoint: z.object({
    id: idField(endpointId, "an endpoint id"),
    service: idField(serviceId, "a service id"),
    address,
  }).strict().optional(),
}).strict();

const EngineStandinSchema = z.object({
  id: idField(endpointId, "an endpoint id"),
  listen: address,
  model: z.string().default("scribe-7b"),
  version: z.string().min(1).default("v1"),
  seed: z.number().int().optional(),
  /** Factor applied to all durations, to simulate hosts of different speed. */
  slowness: z.number().positive().default(1),
  startsCold: z.boolean().default(false),
  enforcesFence: z.boolean().default(true),
  kvTotalTokens: z.number().int().positive().default(60_000),
  restartAfterMs: milliseconds.default(2_000),
}).strict();

const PlainStandinSchema = z.object({
  id: idField(endpointId, "an endpoint id"),
  listen: address,
  version: z.string().min(1).default("v1"),
  workMs: milliseconds.default(4),
  maxConcurrency: z.number().int().positive().default(64),
}).strict();

/** Settings of the stand-ins, which simulate the platform and the endpoints of a deployment in one process. */
export const StandinsSettingsSchema = z.object({
  kind: z.literal("standins"),
  seed: z.number().int().default(1),
  objectStore: z.object({
    listen: address,
    writesPerSecond: z.number().positive().default(400),
    readsPerSecond: z.number().positive().default(2_000),
  }).strict(),
  hostList: z.object({
    listen: address,
    lagMs: milliseconds.default(0),
    hosts: z.array(HostRecordSchema).default([]),
  }).strict(),
  weightStore: z.object({
    listen: address,
    fetchesPerSecond: z.number().positive().default(5),
    weights: z.record(z.string(), z.number().positive()).default({}),
  }).strict().optional(),
  engines: z.array(EngineStandinSchema).default([]),
  plainServices: z.array(PlainStandinSchema).default([]),
  /** Written to the configuration log at startup. */
  configuration: ConfigDocumentSchema.optional(),
}).strict();

export type EntrySettings = z.output<typeof EntrySettingsSchema>;
export type SideSettings = z.output<typeof SideSettingsSchema>;
export type StandinsSettings = z.output<typeof StandinsSettingsSchema>;

/** A settings file of any kind. */
export const SettingsSchema = z.discriminatedUnion("kind", [
  EntrySettingsSchema,
  SideSettingsSchema,
  StandinsSettingsSchema,
]);
export type Settings = z.output<typeof SettingsSchema>;

/**
 * Reads and validates a settings file of any kind. Raises a `settings` error that names the file, the key path and
 * the expected value.
 *
 * @example
 * ```ts
 * const settings = loadAnySettings("examples/kente_lane/entry.yaml");
 * if (settings.kind === "entry") await startEntry(settings);
 * ```
 */
export function loadAnySettings(file: string): Settings {
  return loadSettings(file, SettingsSchema);
}
