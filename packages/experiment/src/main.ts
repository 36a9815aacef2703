/**
 * Entry point of the `experiment` command as a program of its own.
 *
 * @module
 */
import { runExperiment } from "./command.ts";

process.exitCode = await runExperiment(process.argv.slice(2));
