// Installs missing dependencies and compiles every package.
// Uses Node.js built-ins only, so that it runs before anything is installed.
// Output of child processes goes to standard error; standard output is reserved for the command that follows.
import { spawnSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));

function run(cmd, args) {
  const res = spawnSync(cmd, args, { cwd: root, stdio: ["ignore", 2, 2] });
  if (res.status !== 0) {
    process.stderr.write(`${cmd} ${args.join(" ")} failed\n`);
    process.exit(1);
  }
}

function needsInstall() {
  const installedLock = `${root}node_modules/.package-lock.json`;
  if (!existsSync(installedLock)) return true;
  return statSync(installedLock).mtimeMs < statSync(`${root}package-lock.json`).mtimeMs;
}

/** Installs dependencies if the lock file is newer than the installation, then builds incrementally. */
export function prepare() {
  if (needsInstall()) run("npm", ["ci", "--no-audit", "--no-fund"]);
  run(process.execPath, ["node_modules/typescript/bin/tsc", "-b"]);
}

if (process.argv[1] === fileURLToPath(import.meta.url)) prepare();
