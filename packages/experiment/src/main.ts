/**
 * Runs the `experiment` command by itself.
 *
 * @module
 */
import { runExperiment } from "./command.ts";

process.exitCode = await runExperiment(process.argv.slice(2));
