/**
 * `npm run bench -- relay`: what relaying tokens costs.
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
/** Requests with hardly any tokens: tells the cost of a request from that of a token. */
const SHORT: LoadShape = { streams: 0, requestsPerSecond: 240, tokensPerRequest: 1 };

/** Cost of one path. */
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

/** Runs the benchmark and prints its figures. */
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

/** How the benchmark is run. */
interface RelayOptions {
  readonly sides: number;
  readonly seed: number;
  readonly ms: number;
  readonly rounds: number;
}

async function measureLink(options: RelayOptions) {
  const limit = await measureLinkLimit(LIMIT_STREAMS, options.ms);
  const [design, short] = await alternate(measureLinkLoad, options);
  return {
    limitTokensPerSecond: perSecond(limit.tokens, limit),
    limitCpuUsPerToken: limit.threadUs / limit.tokens,
    ...cost(design, short),
    memoryBytesPerStream: await measureLinkMemory(),
  };
}

async function measureEntry(options: RelayOptions) {
  const [design, short] = await alternate(measureEntryLoad, options);
  return {
    ...cost(design, short),
    incompleteAnswers: design.incomplete + short.incomplete,
    memoryBytesPerStream: await measureEntryMemory(),
  };
}

/** Measures both loads in turn, so that a slow spell of the machine falls on both, and adds the rounds up. */
async function alternate<S extends RelaySample>(
  measure: (shape: LoadShape, options: RelayOptions) => Promise<S>,
  options: RelayOptions,
): Promise<[S, S]> {
  const design: S[] = [];
  const short: S[] = [];
  for (let i = 0; i < options.rounds; i++) {
    design.push(await measure(DESIGN, options));
    short.push(await measure(SHORT, options));
  }
  return [total(design), total(short)];
}

/** Adds samples up; the share of the loop is averaged. */
function total<S extends RelaySample>(samples: readonly S[]): S {
  const sums: Record<string, number> = {};
  for (const sample of samples) {
    for (const [key, value] of Object.entries(sample)) sums[key] = (sums[key] ?? 0) + value;
  }
  sums.loopShare = sums.loopShare! / samples.length;
  return sums as unknown as S;
}

/** Splits the cost of two loads into that of a token and that of a request. */
export function cost(design: RelaySample, short: RelaySample): RelayCost {
  const rate = (s: RelaySample) => s.threadUs / s.wallMs;
  const tokens = (s: RelaySample) => s.tokens / s.wallMs;
  const requests = (s: RelaySample) => s.requests / s.wallMs;
  // Solves rate = tokens × a + requests × b for the two loads.
  const det = tokens(design) * requests(short) - tokens(short) * requests(design);
  const a = (rate(design) * requests(short) - rate(short) * requests(design)) / det;
  const b = (tokens(design) * rate(short) - tokens(short) * rate(design)) / det;
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
    for (const [name, figure] of Object.entries(value)) {
      console.log(`  ${name}: ${typeof figure === "number" ? round(figure) : figure}`);
    }
  }
}

function round(n: number): number {
  return Number(n.toPrecision(4));
}
