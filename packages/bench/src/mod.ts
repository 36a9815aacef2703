/**
 * Benchmarks. Their results compare within one run only, and no test depends on them.
 *
 * @module
 */
import { raise } from "@wisteriapick/core";
import { runDecisions } from "./decisions.ts";
import { runRelay } from "./relay.ts";
import { runPropagation } from "./propagation.ts";

/** A benchmark: takes its command-line arguments and prints its results. */
export type Bench = (args: readonly string[]) => Promise<void>;

/** Benchmarks by name. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  relay: runRelay,
  spread: runPropagation,
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
    const names = Object.keys(BENCHES).join(", ");
    raise({ type: "not_found", message: `no benchmark "${name}"; expected one of: ${names}` });
  }
  await bench(args);
}
