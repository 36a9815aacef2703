/**
 * The command line of `wisteriapick`.
 *
 * @module
 */
import { type CommandDef, defineCommand, runCommand, runMain } from "citty";
import { checkConfigCommand } from "./config_command.ts";
import { developmentCommands } from "./development_commands.ts";
import { loadCommand } from "./load/load_command.ts";
import { localCommand } from "./local_command.ts";
import { operatorCommands } from "./operator_commands.ts";
import { EXIT_USAGE } from "./outcome.ts";
import {
  checkSettingsCommand,
  entryCommand,
  sideCommand,
  standinsCommand,
} from "./process_commands.ts";

const root = defineCommand({
  meta: {
    name: "wisteriapick",
    description: "Serving system for generations of unknown length and plain services",
  },
  subCommands: {
    entry: entryCommand as CommandDef,
    side: sideCommand as CommandDef,
    standins: standinsCommand as CommandDef,
    local: localCommand as CommandDef,
    "check-settings": checkSettingsCommand as CommandDef,
    "check-config": checkConfigCommand as CommandDef,
    ...operatorCommands,
    load: loadCommand as CommandDef,
    ...developmentCommands,
  },
});

/** Runs the command line with the given arguments and sets the exit code. */
export async function main(rawArgs: string[]): Promise<void> {
  // A reader that closes the pipe early, such as `head`, is not an error.
  process.stdout.on("error", (e: NodeJS.ErrnoException) => {
    if (e.code !== "EPIPE") throw e;
    process.exit();
  });
  // citty's `runMain` exits with 1 on a usage error where this command exits with 2, so it only serves the help.
  if (rawArgs.some((arg) => arg === "--help" || arg === "-h")) {
    return await runMain(root, { rawArgs });
  }
  try {
    await runCommand(root, { rawArgs });
  } catch (e) {
    const message = e instanceof Error ? e.message : String(e);
    process.stderr.write(`${message}\nsee: wisteriapick --help\n`);
    process.exitCode = EXIT_USAGE;
  }
}
