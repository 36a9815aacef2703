/**
 * Compares the policies of the product with naive load balancers on simulated time.
 *
 * @module
 */
export { runExperiment } from "./command.ts";
export { type ExperimentOutput, toOutput, toTable } from "./output.ts";
export { type ProductOptions, runProduct } from "./product.ts";
export { toHtml } from "./report.ts";
export { buildSetup, runScenario } from "./run.ts";
export { type BuildOptions, type Scenario, SCENARIOS } from "./scenarios.ts";
export type { GroupOutcome, Integrity, Measures, PolicyResult, Quantiles, Setup } from "./types.ts";
