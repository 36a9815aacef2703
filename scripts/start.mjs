// `npm start`: builds, then runs the complete local system in this process.
import { prepare } from "./build.mjs";

prepare();
const { main } = await import("../packages/cli/dist/src/mod.js");
await main(["local", ...process.argv.slice(2)]);
