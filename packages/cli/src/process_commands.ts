/**
 * `wisteriapick entry`, `side`, `standins` and `check-settings`: processes that run from a settings file.
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
import { runCommand, runProcess, untilSignal } from "./outcome.ts";

const fileArg = {
  file: { type: "positional", description: "YAML settings file", required: true },
} as const;

/** Prints one line once a process listens, so that scripts can wait for it. */
function announce(line: string): void {
  process.stdout.write(`${line}\n`);
}

export const entryCommand = defineCommand({
  meta: { name: "entry", description: "Run an entry until SIGTERM; open requests finish first" },
  args: fileArg,
  run: ({ args }) =>
    runProcess(async () => {
      const entry = await startEntry(loadSettings(args.file, EntrySettingsSchema));
      announce(`entry: http ${entry.httpAddress} links ${entry.linkAddress}`);
      await untilSignal();
      await entry.drain();
    }),
});

export const sideCommand = defineCommand({
  meta: { name: "side", description: "Run a side until SIGTERM; running work finishes first" },
  args: fileArg,
  run: ({ args }) =>
    runProcess(async () => {
      const side = await startSide(loadSettings(args.file, SideSettingsSchema));
      announce(`side: links ${side.linkAddress}`);
      await untilSignal();
      await side.drain();
    }),
});

export const standinsCommand = defineCommand({
  meta: { name: "standins", description: "Run the stand-ins of a deployment until SIGTERM" },
  args: fileArg,
  run: ({ args }) =>
    runProcess(async () => {
      const standins = await startStandins(loadSettings(args.file, StandinsSettingsSchema));
      announce(`standins: store ${standins.objectStoreOrigin} hosts ${standins.hostListOrigin}`);
      for (const [id, address] of standins.endpointAddresses) announce(`${id}: ${address}`);
      await untilSignal();
      await standins.close();
    }),
});

export const checkSettingsCommand = defineCommand({
  meta: { name: "check-settings", description: "Check a settings file of any kind" },
  args: fileArg,
  run: ({ args }) =>
    runCommand(async () => {
      const { kind } = loadAnySettings(args.file);
      announce(`${args.file}: valid settings of kind ${kind}`);
    }),
});
