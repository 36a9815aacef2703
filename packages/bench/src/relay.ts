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
/** The same token rate with more and shorter answers: tells the cost of a request from that of a token. */
const SHORT: LoadShape = { streams: 1_200, requestsPerSecond: 240, tokensPerRequest: 100 };

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
      seconds: { type: "string", default: "10" },
      seed: { type: "string", default: "1" },
      sides: { type: "string", default: "24" },
      part: { type: "string", default: "all" },
    },
  });
  const [seed, sides] = [Number(values.seed), Number(values.sides)];
  const ms = Number(values.seconds) * 1_000;
  const report: Record<string, unknown> = { bench: "relay", seed, sides, seconds: ms / 1_000 };
  report.method = CPU_METHOD;
  if (values.part === "all" || values.part === "link") {
    report.link = await measureLink({ sides, seed, ms });
  }
  if (values.part === "all" || values.part === "entry") {
    report.entry = await measureEntry({ sides, seed, ms });
  }
  if (values.json) console.log(JSON.stringify(report));
  else printReport(report);
}

async function measureLink(options: { sides: number; seed: number; ms: number }) {
  const limit = await measureLinkLimit(LIMIT_STREAMS, options.ms);
  const load = cost(
    await measureLinkLoad(DESIGN, options),
    await measureLinkLoad(SHORT, options),
  );
  return {
    limitTokensPerSecond: perSecond(limit.tokens, limit),
    limitCpuUsPerToken: limit.threadUs / limit.tokens,
    ...load,
    memoryBytesPerStream: await measureLinkMemory(),
  };
}

async function measureEntry(options: { sides: number; seed: number; ms: number }) {
  const design = await measureEntryLoad(DESIGN, options);
  const short = await measureEntryLoad(SHORT, options);
  return {
    ...cost(design, short),
    incompleteAnswers: design.incomplete + short.incomplete,
    memoryBytesPerStream: await measureEntryMemory(),
  };
}

/** Splits the cost of two loads with the same token rate into that of a token and that of a request. */
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
