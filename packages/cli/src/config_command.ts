/**
 * The command `check-config`, which checks a configuration of the platform before it is sent.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { raise, toWpError } from "@wisteriapick/core";
import type { GatewayConfig } from "@wisteriapick/gateway";
import { checkConfig, describeChanges } from "@wisteriapick/gateway/config-check";
import { defineCommand } from "citty";
import { parse } from "yaml";
import { EXIT_FAILED, EXIT_OK, raiseUsageError, runCommand } from "./outcome.ts";

/** Reads and decodes a configuration, as YAML or JSON: an object of the store, or its `spec` alone. */
async function readConfig(file: string): Promise<GatewayConfig> {
  const { decodeConfig } = await import("@wisteriapick/platform/decode-objects");
  try {
    const raw: unknown = parse(readFileSync(file, "utf8"));
    if (typeof raw !== "object" || raw === null) throw new Error("it contains no object");
    const object = raw as Record<string, unknown>;
    const { spec } = object;
    const isWrapped = typeof spec === "object" && spec !== null;
    return decodeConfig(isWrapped ? spec as Record<string, unknown> : object);
  } catch (e) {
    return raise({
      type: "settings",
      message: `${file}: ${toWpError(e).message}`,
      file,
      issues: [],
    });
  }
}

function parseDeadline(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const ms = Number(text);
  return text !== "" && ms > 0 ? ms : raiseUsageError("--deadline-ms must be a number above 0");
}

export const checkConfigCommand = defineCommand({
  meta: { name: "check-config", description: "Check a configuration before it is sent" },
  args: {
    file: { type: "positional", description: "YAML or JSON file", required: true },
    against: { type: "string", description: "File with the configuration in force" },
    "deadline-ms": { type: "string", description: "Time for which callers wait, in milliseconds" },
  },
  run: ({ args }) =>
    runCommand(async () => {
      const print = (line: string) => process.stdout.write(`${line}\n`);
      const deadlineMs = parseDeadline(args["deadline-ms"]);
      const config = await readConfig(args.file);
      const findings = checkConfig(config, { deadlineMs });
      for (const { severity, subject, message } of findings) {
        print(`${severity}: ${subject}: ${message}`);
      }
      const errors = findings.filter(({ severity }) => severity === "error").length;
      print(`${args.file}: ${errors} errors, ${findings.length - errors} warnings`);
      if (args.against !== undefined) {
        const changes = describeChanges(await readConfig(args.against), config);
        for (const line of changes) print(`change: ${line}`);
        if (changes.length === 0) print("change: none");
      }
      return errors > 0 ? EXIT_FAILED : EXIT_OK;
    }),
});
