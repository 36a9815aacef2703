/**
 * Benchmarks. Their figures are for comparison within one run; nothing here decides a test.
 *
 * @module
 */
import { raise } from "@wisteriapick/core";
import { runDecisions } from "./decisions.ts";
import { runRelay } from "./relay.ts";
import { runSpread } from "./spread.ts";

/** A benchmark: takes its command-line arguments and prints its figures. */
export type Bench = (args: readonly string[]) => Promise<void>;

/** Benchmarks by name. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  relay: runRelay,
  spread: runSpread,
  decisions: runDecisions,
};

/**
 * Runs one benchmark.
 *
 * @throws WpFailure of type `not_found` for an unknown name.
 *
 * @example
 * ```ts
 * await runBench("relay", ["--json", "--seconds", "5"]);
 * ```
 */
export async function runBench(name: string, args: readonly string[]): Promise<void> {
  const bench = BENCHES[name];
  if (bench === undefined) {
    const known = Object.keys(BENCHES).join(", ");
    raise({ type: "not_found", message: `no benchmark "${name}"; there are: ${known}` });
  }
  await bench(args);
}
