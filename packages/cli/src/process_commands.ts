/**
 * The commands `entry`, `side`, `standins` and `check-settings`, which take a settings file.
 *
 * @module
 */
import { loadSettings } from "@wisteriapick/core";
import {
  EntrySettingsSchema,
  loadAnySettings,
  SideSettingsSchema,
  StandinsSettingsSchema,
  startEntry,
  startSide,
  startStandins,
} from "@wisteriapick/daemon";
import { defineCommand } from "citty";
import { runCommand, runProcess, waitForSignal } from "./outcome.ts";

const fileArg = {
  file: { type: "positional", description: "YAML settings file", required: true },
} as const;

/** Prints a line to standard output; scripts wait for the one that says that a process listens. */
function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

export const entryCommand = defineCommand({
  meta: { name: "entry", description: "Run an entry until SIGTERM; open requests finish first" },
  args: fileArg,
  run: ({ args }) =>
    runProcess(async () => {
      const entry = await startEntry(loadSettings(args.file, EntrySettingsSchema));
      printLine(`entry: http ${entry.httpAddress} links ${entry.linkAddress}`);
      await waitForSignal();
      await entry.drain();
    }),
});

export const sideCommand = defineCommand({
  meta: {
    name: "side",
    description: "Run a side until SIGTERM; running requests finish first",
  },
  args: fileArg,
  run: ({ args }) =>
    runProcess(async () => {
      const side = await startSide(loadSettings(args.file, SideSettingsSchema));
      printLine(`side: links ${side.linkAddress}`);
      await waitForSignal();
      await side.drain();
    }),
});

export const standinsCommand = defineCommand({
  meta: { name: "standins", description: "Run the stand-ins of a deployment until SIGTERM" },
  args: fileArg,
  run: ({ args }) =>
    runProcess(async () => {
      const standins = await startStandins(loadSettings(args.file, StandinsSettingsSchema));
      printLine(`standins: store ${standins.objectStoreOrigin} hosts ${standins.hostListOrigin}`);
      for (const [id, address] of standins.endpointAddresses) printLine(`${id}: ${address}`);
      await waitForSignal();
      await standins.close();
    }),
});

export const checkSettingsCommand = defineCommand({
  meta: { name: "check-settings", description: "Check a settings file of any kind" },
  args: fileArg,
  run: ({ args }) =>
    runCommand(async () => {
      const { kind } = loadAnySettings(args.file);
      printLine(`${args.file}: valid settings of kind ${kind}`);
    }),
});
