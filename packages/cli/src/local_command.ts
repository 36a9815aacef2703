/**
 * `wisteriapick local`: the whole system in one process.
 *
 * @module
 */
import { startLocal } from "@wisteriapick/daemon";
import { defineCommand } from "citty";
import { ask } from "./ask.ts";
import { runCommand, untilSignal } from "./outcome.ts";

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
      const system = await startLocal({ port: Number(args.port), seed: Number(args.seed) });
      try {
        if (args.ask !== undefined) return await ask(system.url, system.key, args.ask);
        process.stdout.write(`entry: ${system.url}\n${system.curl}\n`);
        await untilSignal();
      } finally {
        await system.close();
      }
    }),
});
