/**
 * The `experiment` command.
 *
 * @module
 */
import { toWpError } from "@wisteriapick/core";
import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { CONTROL_SCENARIOS, CONTROL_SUMMARIES } from "./control_scenarios.ts";
import { toOutput, toTable } from "./output.ts";
import { toHtml } from "./report.ts";
import { runScenario } from "./run.ts";
import { SCENARIOS } from "./scenarios.ts";

const USAGE = `usage: experiment SCENARIO [--seed N] [--load X] [--json] [--report FILE.html]
       experiment --list`;

const OPTIONS = {
  seed: { type: "string", default: "1" },
  load: { type: "string" },
  json: { type: "boolean", default: false },
  report: { type: "string" },
  list: { type: "boolean", default: false },
} as const;

/**
 * Runs the command and returns its exit code: 0 on success, 2 for wrong arguments, 1 when the report could not
 * be written.
 *
 * @example
 * ```ts
 * const code = await runExperiment(["crowded", "--seed", "1", "--json"]);
 * ```
 */
export async function runExperiment(rawArgs: string[]): Promise<number> {
  let args;
  try {
    args = parseArgs({ args: rawArgs, options: OPTIONS, allowPositionals: true });
  } catch (e) {
    return usage(toWpError(e).message);
  }
  const { values, positionals } = args;
  if (values.list) {
    for (const s of SCENARIOS) process.stdout.write(`${s.name.padEnd(16)}${s.summary}\n`);
    for (const [name, summary] of Object.entries(CONTROL_SUMMARIES)) {
      process.stdout.write(`${name.padEnd(16)}${summary}\n`);
    }
    return 0;
  }
  const [name, ...rest] = positionals;
  if (name === undefined || rest.length > 0) return usage("expected one scenario");
  const control = CONTROL_SCENARIOS[name];
  if (control === undefined && !SCENARIOS.some((s) => s.name === name)) {
    return usage(`unknown scenario "${name}"; see --list`);
  }
  const seed = Number(values.seed);
  if (!Number.isSafeInteger(seed)) return usage(`--seed: expected a whole number`);
  const load = values.load === undefined ? undefined : Number(values.load);
  if (load !== undefined && !(load > 0 && load <= 10)) {
    return usage("--load: expected a number above 0 and at most 10");
  }
  if (control !== undefined) {
    const variants = await control({ seed, load });
    const space = values.json ? undefined : 2;
    process.stdout.write(`${JSON.stringify({ scenario: name, seed, variants }, null, space)}\n`);
    return 0;
  }
  const output = toOutput(runScenario(name, { seed, load }));
  const table = toTable(output);
  process.stdout.write(values.json ? `${JSON.stringify(output)}\n` : `${table}\n`);
  return values.report === undefined ? 0 : writeReport(values.report, toHtml(output, table));
}

function usage(message: string): number {
  process.stderr.write(`${message}\n${USAGE}\n`);
  return 2;
}

function writeReport(file: string, html: string): number {
  try {
    writeFileSync(file, html);
    return 0;
  } catch (e) {
    process.stderr.write(`${file}: ${toWpError(e).message}\n`);
    return 1;
  }
}
