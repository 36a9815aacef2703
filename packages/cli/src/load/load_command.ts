/**
 * The command `wisteriapick load`, an open-loop load generator for one entry.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { SystemClock } from "@wisteriapick/core";
import { defineCommand } from "citty";
import { z } from "zod";
import { EXIT_FAILED, raiseUsageError, runCommand } from "../outcome.ts";
import { LENGTH_CLASSES, type LoadOptions } from "./load_plan.ts";
import { loadReportHtml } from "./load_report.ts";
import { LoadRun } from "./load_runner.ts";

// Upper limits of the options, so that a typo cannot occupy a machine for long.
const MAX_DURATION_S = 3_600;
const MAX_RATE = 5_000;
const PROGRESS_INTERVAL_MS = 1_000;

const ArgsSchema = z.object({
  url: z.url(),
  accounts: z.string().min(1, "expected name=key[:weight],…"),
  services: z.string(),
  lengths: z.string(),
  rate: z.coerce.number().positive().max(MAX_RATE),
  duration: z.coerce.number().positive().max(MAX_DURATION_S),
  requests: z.coerce.number().int().positive().max(1_000_000),
  open: z.coerce.number().int().positive().max(20_000),
  seed: z.coerce.number().int(),
});

/** Parses `name=weight,…`. */
function parseWeights(option: string, text: string): { name: string; weight: number }[] {
  return text.split(",").map((item) => {
    const [name, weight = "1"] = item.split("=");
    const n = Number(weight);
    if (!name || !Number.isFinite(n) || n < 0) {
      raiseUsageError(`--${option}: expected name=weight,…`);
    }
    return { name, weight: n };
  });
}

/** Parses `name=key[:weight],…`. */
function parseAccounts(text: string) {
  return text.split(",").map((item) => {
    const match = /^([^=]+)=([^:]+)(?::([\d.]+))?$/.exec(item);
    if (match === null) raiseUsageError("--accounts: expected name=key[:weight],…");
    return { name: match[1]!, key: match[2]!, weight: Number(match[3] ?? 1) };
  });
}

function isLoopback(url: string): boolean {
  const { hostname } = new URL(url);
  return hostname === "localhost" || hostname === "[::1]" || /^127(\.\d{1,3}){3}$/.test(hostname);
}

/**
 * Validates the arguments and converts them to the options of a run.
 *
 * @throws WpFailure of type `settings` for invalid arguments.
 */
export function parseLoadArgs(args: Record<string, unknown>): LoadOptions {
  const parsed = ArgsSchema.safeParse(args);
  if (!parsed.success) {
    const issue = parsed.error.issues[0]!;
    raiseUsageError(`--${issue.path.join(".")}: ${issue.message}`);
  }
  const a = parsed.data;
  if (!isLoopback(a.url) && args["allow-remote"] !== true) {
    raiseUsageError(`--url: expected a loopback address; ${a.url} needs --allow-remote`);
  }
  const lengths = parseWeights("lengths", a.lengths);
  if (lengths.some((l) => !LENGTH_CLASSES.includes(l.name as "short"))) {
    raiseUsageError(`--lengths: expected the classes ${LENGTH_CLASSES.join(" and ")}`);
  }
  const services = parseWeights("services", a.services).map(({ name, weight }) => {
    const isPlain = name.endsWith("/plain");
    const kind: "plain" | "model" = isPlain ? "plain" : "model";
    return { name: isPlain ? name.slice(0, -"/plain".length) : name, weight, kind };
  });
  return {
    url: a.url.replace(/\/$/, ""),
    accounts: parseAccounts(a.accounts),
    services,
    lengths,
    requestsPerSecond: a.rate,
    durationMs: a.duration * 1_000,
    maxRequests: a.requests,
    maxOpen: a.open,
    seed: a.seed,
  };
}

export const loadCommand = defineCommand({
  meta: {
    name: "load",
    description: "Send an open-loop load to an entry and report latencies and errors",
  },
  args: {
    url: { type: "string", description: "Address of the entry", default: "http://127.0.0.1:8080" },
    accounts: {
      type: "string",
      description: "Client accounts: name=key[:weight],…",
      default: "museum-shop=local-museum-shop",
    },
    services: {
      type: "string",
      description: "Services by weight; NAME/plain sends stock checks",
      default: "scribe=9,counter/plain=1",
    },
    lengths: {
      type: "string",
      description: "Response lengths by weight",
      default: "short=6,long=4",
    },
    rate: { type: "string", description: "Requests per second", default: "10" },
    duration: {
      type: "string",
      description: "Seconds during which requests are sent",
      default: "10",
    },
    requests: { type: "string", description: "Maximum number of requests", default: "100000" },
    open: { type: "string", description: "Maximum number of concurrent requests", default: "2000" },
    seed: { type: "string", description: "Seed of the random numbers", default: "1" },
    out: { type: "string", description: "Write OUT.json and OUT.html instead of printing JSON" },
    "allow-remote": { type: "boolean", description: "Allow non-loopback addresses" },
  },
  run: ({ args }) => runCommand(() => runLoad(parseLoadArgs(args), args.out)),
});

async function runLoad(options: LoadOptions, out: string | undefined): Promise<number> {
  const clock = new SystemClock();
  const run = new LoadRun(options, clock);
  const onSignal = () => run.stop();
  process.once("SIGINT", onSignal).once("SIGTERM", onSignal);
  const stopProgress = clock.setRepeating(PROGRESS_INTERVAL_MS, () => {
    const { sent, completed, open, problems } = run.progress;
    process.stderr.write(`sent ${sent} completed ${completed} open ${open} problems ${problems}\n`);
  });
  const result = await run.run();
  stopProgress();
  process.off("SIGINT", onSignal).off("SIGTERM", onSignal);
  const json = `${JSON.stringify(result, null, 2)}\n`;
  if (out === undefined) process.stdout.write(json);
  else {
    writeFileSync(`${out}.json`, json);
    writeFileSync(`${out}.html`, loadReportHtml(result));
    process.stderr.write(`wrote ${out}.json and ${out}.html\n`);
  }
  return result.total.completed > 0 ? 0 : EXIT_FAILED;
}
