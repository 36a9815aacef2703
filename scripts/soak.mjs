// `npm run soak`: builds, bundles the entry as the platform starts it, and runs soaks.
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { prepare } from "./build.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));
prepare();
const run = (file, args) =>
  spawnSync(process.execPath, [`${root}${file}`, ...args], { cwd: root, stdio: "inherit" }).status;
const bundled = run("scripts/bundle.mjs", []);
process.exit(
  bundled === 0 ? run("platform/dist/soak/main.js", process.argv.slice(2)) ?? 1 : bundled ?? 1,
);
