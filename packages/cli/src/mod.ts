/**
 * The `wisteriapick` command.
 *
 * @module
 */
import { runMain } from "citty";

/** Runs the command line with the given arguments. */
export async function main(rawArgs: string[]): Promise<void> {
  await runMain({ meta: { name: "wisteriapick" }, subCommands: {} }, { rawArgs });
}
