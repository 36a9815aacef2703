/**
 * Runs one scenario under every policy.
 *
 * @module
 */
import { raise } from "@wisteriapick/core";
import { BASELINES, runBaseline } from "./baselines.ts";
import { type ProductOptions, runProduct } from "./product.ts";
import { type BuildOptions, SCENARIOS } from "./scenarios.ts";
import type { PolicyResult, Setup } from "./types.ts";

/** The results of one run. */
export interface RunResult {
  readonly setup: Setup;
  readonly results: ReadonlyMap<string, PolicyResult>;
  /** Only in `large_accounts`: the product run without the requests of the large accounts. */
  readonly withoutLarge?: PolicyResult;
}

/**
 * Builds the setup of a scenario.
 *
 * @throws WpFailure of type `not_found` if there is no scenario of that name.
 */
export function buildSetup(name: string, options: BuildOptions): Setup {
  const scenario = SCENARIOS.find((s) => s.name === name);
  if (scenario === undefined) raise({ type: "not_found", message: `unknown scenario ${name}` });
  return scenario.build(options);
}

/** Runs the product and the four baselines over the same arrivals. */
export function runScenario(
  name: string,
  options: BuildOptions,
  productOptions: ProductOptions = {},
): RunResult {
  const setup = buildSetup(name, options);
  const results = new Map<string, PolicyResult>();
  results.set("wisteriapick", runProduct(setup, productOptions));
  for (const baseline of BASELINES) results.set(baseline, runBaseline(setup, baseline));
  if (name !== "large_accounts") return { setup, results };
  return { setup, results, withoutLarge: runProduct(withoutLarge(setup), productOptions) };
}

/** Returns the setup without the arrivals of large accounts. */
export function withoutLarge(setup: Setup): Setup {
  const small = setup.jobs.filter((job) => !job.account.startsWith("large"));
  return { ...setup, jobs: small.map((job, index) => ({ ...job, index })) };
}
