// Runs one benchmark, for example: node packages/bench/dist/src/main.js relay --json
import { runBench } from "./mod.ts";

const [name = "", ...args] = process.argv.slice(2);
await runBench(name, args);
process.exit(0);
