// `npm run soak`: builds, bundles the entry in the form that the platform starts, and runs the soak tests.
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { prepare } from "./build.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));
prepare();
const run = (file, args) =>
  spawnSync(process.execPath, [`${root}${file}`, ...args], { cwd: root, stdio: "inherit" }).status;
const bundleStatus = run("scripts/bundle.mjs", []);
process.exit(
  bundleStatus === 0
    ? run("platform/dist/soak/main.js", process.argv.slice(2)) ?? 1
    : bundleStatus ?? 1,
);
