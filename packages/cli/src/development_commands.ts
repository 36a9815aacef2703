/**
 * The commands `bench`, `check` and `experiment`. Their packages parse the arguments.
 *
 * @module
 */
import { type CommandDef, defineCommand } from "citty";
import { raiseUsageError, runCommand } from "./outcome.ts";

// The packages are imported on use, so that a serving process does not hold them in memory.
const benchCommand = defineCommand({
  meta: { name: "bench", description: "Run a benchmark: bench relay|spread [options]" },
  run: ({ rawArgs: [name = "", ...rest] }) =>
    runCommand(async () => {
      const { BENCHES, runBench } = await import("@wisteriapick/bench");
      if (!Object.hasOwn(BENCHES, name)) {
        raiseUsageError(`expected one of ${Object.keys(BENCHES).join(", ")}`);
      }
      await runBench(name, rest);
    }),
});

const checkCommand = defineCommand({
  meta: {
    name: "check",
    description: "Verify the system's invariants under faults: check --seed N --runs K",
  },
  run: ({ rawArgs }) =>
    runCommand(async () => {
      const { runCheck } = await import("@wisteriapick/check");
      return await runCheck(rawArgs);
    }),
});

const experimentCommand = defineCommand({
  meta: {
    name: "experiment",
    description: "Compare the policies with baselines: experiment SCENARIO --seed N, or --list",
  },
  run: ({ rawArgs }) =>
    runCommand(async () => {
      const { runExperiment } = await import("@wisteriapick/experiment");
      return await runExperiment(rawArgs);
    }),
});

/** The development commands by name, added to the root command. */
export const developmentCommands: Readonly<Record<string, CommandDef>> = {
  bench: benchCommand,
  check: checkCommand,
  experiment: experimentCommand,
};
