// Builds, then runs one subcommand of the development or product command line in this process.
import { prepare } from "./build.mjs";

prepare();
const [name, ...rest] = process.argv.slice(2);
const { main } = await import("../packages/cli/dist/src/mod.js");
await main([name, ...rest]);
