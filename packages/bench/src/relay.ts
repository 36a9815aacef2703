/**
 * `npm run bench -- relay` measures the cost of relaying tokens.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { CPU_METHOD } from "./cpu.ts";
import type { LoadShape } from "./relay_load.ts";
import { measureEntryLoad, measureEntryMemory } from "./relay_entry.ts";
import {
  measureLinkLimit,
  measureLinkLoad,
  measureLinkMemory,
  type RelaySample,
} from "./relay_link.ts";

const US_PER_MS = 1_000;
const LIMIT_STREAMS = 1_200;

/** The load of one entry at the design size. */
const DESIGN: LoadShape = { streams: 1_200, requestsPerSecond: 60, tokensPerRequest: 400 };
/** Requests of one token, to separate the cost of a request from that of a token. */
const SHORT: LoadShape = { streams: 0, requestsPerSecond: 240, tokensPerRequest: 1 };

/** Cost of one path, either the link alone or a complete entry. */
export interface RelayCost {
  readonly tokensPerSecond: number;
  readonly requestsPerSecond: number;
  readonly cpuUsPerToken: number;
  readonly cpuUsPerRequest: number;
  readonly shareOfCoreThread: number;
  readonly shareOfCoreProcess: number;
  readonly loopShare: number;
  readonly bytesPerToken: number;
}

/** Runs the benchmark and prints its results. */
export async function runRelay(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      json: { type: "boolean", default: false },
      seconds: { type: "string", default: "5" },
      rounds: { type: "string", default: "2" },
      seed: { type: "string", default: "1" },
      sides: { type: "string", default: "24" },
      part: { type: "string", default: "all" },
    },
  });
  const [seed, sides] = [Number(values.seed), Number(values.sides)];
  const [seconds, rounds] = [Number(values.seconds), Number(values.rounds)];
  const options = { sides, seed, rounds, ms: seconds * 1_000 };
  const report: Record<string, unknown> = { bench: "relay", seed, sides, seconds, rounds };
  report.method = CPU_METHOD;
  if (values.part === "all" || values.part === "link") {
    report.link = await measureLink(options);
  }
  if (values.part === "all" || values.part === "entry") {
    report.entry = await measureEntry(options);
  }
  if (values.json) console.log(JSON.stringify(report));
  else printReport(report);
}

/** Options of the benchmark. */
interface RelayOptions {
  readonly sides: number;
  readonly seed: number;
  readonly ms: number;
  readonly rounds: number;
}

async function measureLink(options: RelayOptions) {
  const limit = await measureLinkLimit(LIMIT_STREAMS, options.ms);
  const [design, short] = await measureAlternately(measureLinkLoad, options);
  return {
    limitTokensPerSecond: perSecond(limit.tokens, limit),
    limitCpuUsPerToken: limit.threadUs / limit.tokens,
    ...deriveCost(design, short),
    memoryBytesPerStream: await measureLinkMemory(),
  };
}

async function measureEntry(options: RelayOptions) {
  const [design, short] = await measureAlternately(measureEntryLoad, options);
  return {
    ...deriveCost(design, short),
    incompleteAnswers: design.incomplete + short.incomplete,
    memoryBytesPerStream: await measureEntryMemory(),
  };
}

/** Alternates between both loads, so that a slow phase of the machine affects both, and sums the rounds. */
async function measureAlternately<S extends RelaySample>(
  measure: (shape: LoadShape, options: RelayOptions) => Promise<S>,
  options: RelayOptions,
): Promise<[S, S]> {
  const design: S[] = [];
  const short: S[] = [];
  for (let i = 0; i < options.rounds; i++) {
    design.push(await measure(DESIGN, options));
    short.push(await measure(SHORT, options));
  }
  return [sumSamples(design), sumSamples(short)];
}

/** Sums the samples; `loopShare` is averaged. */
function sumSamples<S extends RelaySample>(samples: readonly S[]): S {
  const sums: Record<string, number> = {};
  for (const sample of samples) {
    for (const [key, value] of Object.entries(sample)) sums[key] = (sums[key] ?? 0) + value;
  }
  sums.loopShare = sums.loopShare! / samples.length;
  return sums as unknown as S;
}

/** Derives the cost of a token and that of a request from the costs of two loads. */
export function deriveCost(design: RelaySample, short: RelaySample): RelayCost {
  const cpuRate = (s: RelaySample) => s.threadUs / s.wallMs;
  const tokens = (s: RelaySample) => s.tokens / s.wallMs;
  const requests = (s: RelaySample) => s.requests / s.wallMs;
  // Solves cpuRate = tokens × a + requests × b for the two loads.
  const det = tokens(design) * requests(short) - tokens(short) * requests(design);
  const a = (cpuRate(design) * requests(short) - cpuRate(short) * requests(design)) / det;
  const b = (tokens(design) * cpuRate(short) - tokens(short) * cpuRate(design)) / det;
  return {
    tokensPerSecond: perSecond(design.tokens, design),
    requestsPerSecond: perSecond(design.requests, design),
    cpuUsPerToken: a,
    cpuUsPerRequest: b,
    shareOfCoreThread: design.threadUs / (design.wallMs * US_PER_MS),
    shareOfCoreProcess: design.processUs / (design.wallMs * US_PER_MS),
    loopShare: design.loopShare,
    bytesPerToken: design.bytes / design.tokens,
  };
}

function perSecond(count: number, { wallMs }: RelaySample): number {
  return count / wallMs * 1_000;
}

function printReport(report: Record<string, unknown>): void {
  for (const [key, value] of Object.entries(report)) {
    if (typeof value !== "object" || value === null) {
      console.log(`${key}: ${value}`);
      continue;
    }
    console.log(`${key}:`);
    for (const [name, result] of Object.entries(value)) {
      console.log(`  ${name}: ${typeof result === "number" ? roundForDisplay(result) : result}`);
    }
  }
}

function roundForDisplay(n: number): number {
  return Number(n.toPrecision(4));
}
