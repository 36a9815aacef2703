/**
 * The `wisteriapick` command.
 *
 * @module
 */
import { defineCommand, runMain } from "citty";
import { loadCommand } from "./load/load_command.ts";
import { localCommand } from "./local_command.ts";

const root = defineCommand({
  meta: {
    name: "wisteriapick",
    description: "Serving system for generations of unknown length and plain services",
  },
  subCommands: {
    local: localCommand,
    load: loadCommand,
  },
});

/** Runs the command line with the given arguments. */
export async function main(rawArgs: string[]): Promise<void> {
  await runMain(root, { rawArgs });
}
