import { runCheck } from "./run_check.ts";

process.exitCode = await runCheck(process.argv.slice(2));
