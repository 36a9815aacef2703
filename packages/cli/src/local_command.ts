/**
 * `wisteriapick local`: the whole system in one process.
 *
 * @module
 */
import { startLocal } from "@wisteriapick/daemon";
import { defineCommand } from "citty";
import { ask } from "./ask.ts";
import { runCommand, untilSignal, usage } from "./outcome.ts";

const MAX_PORT = 65_535;

export const localCommand = defineCommand({
  meta: {
    name: "local",
    description: "Run the Kente Lane deployment with all stand-ins in this process",
  },
  args: {
    port: {
      type: "string",
      description: "Port of the entry; another one if taken",
      default: "8080",
    },
    ask: { type: "string", description: "Send one prompt, print the answer and stop" },
    seed: { type: "string", description: "Seed of the stand-ins", default: "1" },
  },
  run: ({ args }) =>
    runCommand(async () => {
      const [port, seed] = [Number(args.port), Number(args.seed)];
      if (!Number.isInteger(port) || port < 0 || port > MAX_PORT) {
        usage("--port: expected a port number");
      }
      if (!Number.isInteger(seed)) usage("--seed: expected a whole number");
      const system = await startLocal({ port, seed });
      try {
        if (args.ask !== undefined) return await ask(system.url, system.key, args.ask);
        process.stdout.write(`entry: ${system.url}\n${system.curl}\n`);
        await untilSignal();
      } finally {
        await system.close();
      }
    }),
});
