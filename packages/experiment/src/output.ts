/**
 * JSON output and text table of an experiment.
 *
 * @module
 */
import Table from "cli-table3";
import type { RunResult } from "./run.ts";
import type { GroupOutcome, Integrity, Measures, PolicyResult } from "./types.ts";
import { quantiles } from "./recorder.ts";

/** Distribution of refusals over kinds of work and accounts. */
export interface Fairness {
  readonly by_kind: Record<string, GroupOutcome>;
  readonly by_account: Record<string, GroupOutcome>;
  /** Smallest and largest share of refused requests of an account. */
  readonly refused_share_min: number;
  readonly refused_share_max: number;
  readonly reasons: Record<string, number>;
}

/** The object that `--json` prints. */
export interface ExperimentOutput {
  readonly scenario: string;
  readonly seed: number;
  readonly policies: Record<string, Measures>;
  readonly load: number;
  readonly offered: number;
  readonly fairness: Record<string, Fairness>;
  readonly integrity: Record<string, Integrity>;
  readonly small_accounts?: SmallAccounts;
}

/** p99 stall and refusals of the small accounts, with and without the load of the large ones. */
export interface SmallAccounts {
  readonly stall_p99_ms: number;
  readonly stall_p99_ms_without_large: number;
  readonly refused: number;
  readonly refused_without_large: number;
}

/** Builds the `--json` output of a run. */
export function toOutput({ setup, results, withoutLarge }: RunResult): ExperimentOutput {
  const map = <T>(of: (r: PolicyResult) => T): Record<string, T> =>
    Object.fromEntries([...results].map(([name, result]) => [name, of(result)]));
  const output: ExperimentOutput = {
    scenario: setup.scenario,
    seed: setup.seed,
    policies: map((r) => r.measures),
    load: setup.load,
    offered: setup.jobs.length,
    fairness: map(fairness),
    integrity: map((r) => r.integrity),
  };
  if (withoutLarge === undefined) return output;
  const withLarge = results.get("wisteriapick")!;
  return { ...output, small_accounts: smallAccounts(withLarge, withoutLarge) };
}

function fairness(result: PolicyResult): Fairness {
  const shares = Object.values(result.byAccount).map((g) => g.refused_share);
  return {
    by_kind: result.byKind,
    by_account: result.byAccount,
    refused_share_min: Math.min(...shares),
    refused_share_max: Math.max(...shares),
    reasons: result.refusals,
  };
}

function smallAccounts(withLarge: PolicyResult, withoutLarge: PolicyResult): SmallAccounts {
  const refused = (r: PolicyResult) =>
    Object.entries(r.byAccount)
      .filter(([account]) => account.startsWith("small"))
      .reduce((sum, [, g]) => sum + g.refused, 0);
  const stalls = (r: PolicyResult) =>
    quantiles(r.stalls.filter((s) => s.account.startsWith("small")).map((s) => s.stallMs)).p99;
  return {
    stall_p99_ms: stalls(withLarge),
    stall_p99_ms_without_large: stalls(withoutLarge),
    refused: refused(withLarge),
    refused_without_large: refused(withoutLarge),
  };
}

const COLUMNS: readonly [string, (m: Measures) => string | number][] = [
  ["first token p50/p99 ms", (m) => `${m.first_token_ms.p50} / ${m.first_token_ms.p99}`],
  ["stall p95/p99 ms", (m) => `${m.stall_ms.p95} / ${m.stall_ms.p99}`],
  ["gap p50/p99 ms", (m) => `${m.token_gap_ms.p50} / ${m.token_gap_ms.p99}`],
  ["preempt./1000", (m) => m.preemptions_per_1000],
  ["cold overl.", (m) => m.cold_overloads],
  ["completed", (m) => m.completed],
  ["refused", (m) => m.refused],
  ["failed", (m) => m.failed],
  ["tokens/s", (m) => m.goodput_tokens_per_s],
];

/** Formats the output as a text table. */
export function toTable(output: ExperimentOutput): string {
  const table = new Table({
    head: ["policy", ...COLUMNS.map(([name]) => name)],
    style: { head: [], border: [] },
  });
  for (const [name, m] of Object.entries(output.policies)) {
    table.push([name, ...COLUMNS.map(([, of]) => of(m))]);
  }
  const { scenario, seed, load, offered } = output;
  const lines = [`${scenario}: seed ${seed}, load ${load}, ${offered} requests`, table.toString()];
  const own = output.integrity.wisteriapick!;
  lines.push(
    `wisteriapick: lost ${own.lost}, duplicated ${own.duplicated}, spliced ${own.spliced}; ` +
      `crashes ${own.crashes}, by poison ${own.poison_crashes}`,
  );
  for (const [kind, g] of Object.entries(output.fairness.wisteriapick!.by_kind)) {
    const share = (100 * g.refused_share).toFixed(1);
    lines.push(`wisteriapick, ${kind}: ${share}% refused, p99 stall ${g.stall_p99_ms} ms`);
  }
  const small = output.small_accounts;
  if (small !== undefined) {
    lines.push(
      `small accounts: p99 stall ${small.stall_p99_ms} ms, ` +
        `without the large ones ${small.stall_p99_ms_without_large} ms`,
    );
  }
  return lines.join("\n");
}
