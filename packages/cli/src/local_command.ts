/**
 * The command `wisteriapick local`, which runs a complete system in one process.
 *
 * @module
 */
import { startLocal } from "@wisteriapick/daemon";
import { defineCommand } from "citty";
import { raiseUsageError, runProcess, waitForSignal } from "./outcome.ts";
import { printCompletion } from "./print_completion.ts";

const MAX_PORT = 65_535;

/** Parses a limit of the host; `undefined` if it is not given. */
function parseLimit(name: string, value: string | undefined): number | undefined {
  if (value === undefined) return undefined;
  const limit = Number(value);
  if (!Number.isInteger(limit) || limit <= 0) {
    raiseUsageError(`--${name}: expected a positive whole number`);
  }
  return limit;
}

export const localCommand = defineCommand({
  meta: {
    name: "local",
    description: "Run the Kente Lane deployment with all stand-ins in this process",
  },
  args: {
    port: {
      type: "string",
      description: "Port of the entry; a free port is used if it is taken",
      default: "8080",
    },
    ask: { type: "string", description: "Send one prompt, print the response and exit" },
    seed: { type: "string", description: "Seed of the stand-ins", default: "1" },
    "memory-mb": { type: "string", description: "Memory of the host in MiB; no limit by default" },
    "max-descriptors": { type: "string", description: "Descriptors that may be open" },
  },
  run: ({ args }) =>
    runProcess(async () => {
      const [port, seed] = [Number(args.port), Number(args.seed)];
      if (!Number.isInteger(port) || port < 0 || port > MAX_PORT) {
        raiseUsageError("--port: expected a port number");
      }
      if (!Number.isInteger(seed)) raiseUsageError("--seed: expected a whole number");
      const memoryMb = parseLimit("memory-mb", args["memory-mb"]);
      const maxDescriptors = parseLimit("max-descriptors", args["max-descriptors"]);
      const system = await startLocal({ port, seed, memoryMb, maxDescriptors });
      try {
        if (args.ask !== undefined) return await printCompletion(system.url, system.key, args.ask);
        process.stdout.write(`entry: ${system.url}\n${system.curl}\n`);
        await waitForSignal();
      } finally {
        await system.close();
      }
    }),
});
