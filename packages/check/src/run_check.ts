/**
 * The `check` command: generates random plans of faults, checks the history of each run and shrinks the first plan
 * that violates a property.
 *
 * @module
 */
import { parseArgs } from "node:util";
import fc from "fast-check";
import { checkHistory } from "./check_history.ts";
import type { CheckResult } from "./checker.ts";
import type { Overrides } from "./context.ts";
import { type RunPlan, runPlan } from "./faults.ts";
import { countRequests } from "./fleet_checkers.ts";
import type { HistoryEvent } from "./history.ts";
import { SystemRun } from "./system_run.ts";

/** Result of a set of runs; `--json` prints it. */
export interface CheckReport {
  readonly seed: number;
  readonly runs: number;
  readonly requests: number;
  readonly events: number;
  /** Number of requests by ending: `answered`, `caller_left`, or the reason of the failure. */
  readonly endings: Readonly<Record<string, number>>;
  /** Facts examined, by property number (1 to 10). */
  readonly examined: Readonly<Record<number, number>>;
  /** The smallest failing plan found and the properties that it violates, or `null`. */
  readonly failure: { readonly plan: RunPlan; readonly results: readonly CheckResult[] } | null;
}

/** Runs one plan and checks its history. */
export async function checkPlan(
  plan: RunPlan,
  overrides: Overrides = {},
): Promise<{ history: readonly HistoryEvent[]; results: CheckResult[] }> {
  const history = await new SystemRun(plan, overrides).execute();
  return { history, results: checkHistory(history) };
}

/** Whether at least half of the requests were answered; with fewer, a run without violations verifies too little. */
function isConclusive(history: readonly HistoryEvent[]): boolean {
  const answered = history.filter((e) => e.type === "answer_ended").length;
  return answered >= countRequests(history) / 2;
}

function violatedResults(results: readonly CheckResult[]): CheckResult[] {
  return results.filter((r) => r.violations.length > 0);
}

/** Generates `runs` plans from a seed, checks each, and shrinks the first that violates a property. */
export async function checkRuns(
  { seed, runs, overrides = {}, onFailingPlan }: {
    seed: number;
    runs: number;
    overrides?: Overrides;
    /** Called with each failing plan while the plan is shrunk, which takes minutes. */
    onFailingPlan?: (plan: RunPlan) => void;
  },
): Promise<CheckReport> {
  const examined: Record<number, number> = {};
  const endings: Record<string, number> = {};
  let requests = 0;
  let events = 0;
  const property = fc.asyncProperty(runPlan, async (plan) => {
    const { history, results } = await checkPlan(plan, overrides);
    for (const r of results) examined[r.promise] = (examined[r.promise] ?? 0) + r.examined;
    requests += countRequests(history);
    events += history.length;
    countEndings(history, endings);
    const passed = violatedResults(results).length === 0 && isConclusive(history);
    if (!passed) onFailingPlan?.(plan);
    return passed;
  });
  const res = await fc.check(property, { seed, numRuns: runs });
  const plan = res.counterexample?.[0] ?? null;
  const failure = plan === null
    ? null
    : { plan, results: violatedResults((await checkPlan(plan, overrides)).results) };
  return { seed, runs: res.numRuns, requests, events, endings, examined, failure };
}

function countEndings(history: readonly HistoryEvent[], endings: Record<string, number>): void {
  for (const event of history) {
    let ending: string;
    if (event.type === "answer_ended") ending = "answered";
    else if (event.type === "answer_failed") ending = event.reason;
    else if (event.type === "caller_left") ending = "caller_left";
    else continue;
    endings[ending] = (endings[ending] ?? 0) + 1;
  }
}

const USAGE = `usage: wisteriapick check [--seed N] [--runs K] [--plan JSON] [--json]
  Runs K generated fault plans against the entry and side code and checks ten properties, printed as promise 1 to 10.
  --plan replays one plan as printed by an earlier failure.`;

/** Runs the `check` command. Resolves with its exit code: 0 passed, 1 a property was violated, 2 invalid arguments. */
export async function runCheck(rawArgs: readonly string[]): Promise<number> {
  let args;
  try {
    args = parseArgs({
      args: [...rawArgs],
      options: {
        seed: { type: "string", default: "1" },
        runs: { type: "string", default: "20" },
        plan: { type: "string" },
        json: { type: "boolean", default: false },
        help: { type: "boolean", default: false },
      },
    }).values;
  } catch (e) {
    console.error(`${(e as Error).message}\n${USAGE}`);
    return 2;
  }
  if (args.help) {
    console.log(USAGE);
    return 0;
  }
  if (args.plan !== undefined) return await replay(args.plan);
  const seed = Number(args.seed);
  const runs = Number(args.runs);
  if (!Number.isInteger(seed) || !Number.isInteger(runs) || runs < 1) {
    console.error(`--seed and --runs: expected integers, and at least one run\n${USAGE}`);
    return 2;
  }
  const onFailingPlan = (plan: RunPlan) => console.error(`failing plan: ${JSON.stringify(plan)}`);
  const report = await checkRuns({ seed, runs, onFailingPlan });
  if (args.json) console.log(JSON.stringify(report));
  else printReport(report);
  return report.failure === null ? 0 : 1;
}

async function replay(json: string): Promise<number> {
  let plan: RunPlan;
  try {
    plan = JSON.parse(json) as RunPlan;
  } catch (e) {
    console.error(`--plan: ${(e as Error).message}`);
    return 2;
  }
  const { results } = await checkPlan(plan);
  printViolations(results);
  return violatedResults(results).length === 0 ? 0 : 1;
}

function printReport(report: CheckReport): void {
  console.log(
    `seed ${report.seed}: ${report.runs} runs, ${report.requests} requests, ${report.events} events`,
  );
  console.log(`endings: ${JSON.stringify(report.endings)}`);
  for (let promise = 1; promise <= 10; promise++) {
    console.log(`promise ${promise}: ${report.examined[promise] ?? 0} facts examined`);
  }
  if (report.failure === null) return console.log("every promise held");
  console.log(`smallest failing plan: ${JSON.stringify(report.failure.plan)}`);
  printViolations(report.failure.results);
}

function printViolations(results: readonly CheckResult[]): void {
  for (const { promise, violations } of violatedResults(results)) {
    for (const v of violations.slice(0, 5)) {
      console.log(`promise ${promise} broken at ${v.at}: ${v.message}`);
    }
  }
}
