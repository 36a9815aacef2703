// `npm test`: installs what is missing, builds, and runs every test.
// Tests listed in KNOWN-RED.txt are passed over by their exact name and printed.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { prepare } from "./build.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));

/** Reads the `test:` lines of KNOWN-RED.txt. */
function knownRed() {
  const file = `${root}KNOWN-RED.txt`;
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, "utf8").split("\n");
  return lines.filter((l) => l.startsWith("test: ")).map((l) => l.slice("test: ".length).trim());
}

/** Lists the compiled tests that still have a source file, so stale output is never run. */
function testFiles() {
  const found = [];
  const packages = readdirSync(`${root}packages`).sort().map((name) => `packages/${name}`);
  for (const pkg of [...packages, "platform"]) {
    const dir = `${root}${pkg}/tests`;
    if (!existsSync(dir)) continue;
    for (const name of readdirSync(dir).sort()) {
      if (!name.endsWith("_test.ts")) continue;
      found.push(`${pkg}/dist/tests/${name.replace(/\.ts$/, ".js")}`);
    }
  }
  return found;
}

prepare();
const skips = knownRed();
for (const name of skips) console.log(`known red, passed over: ${name}`);
const escape = (s) => s.replace(/[.*+?^${}()|[\]\\/]/g, "\\$&");
// A file that never ends fails the run; without a bound it would hold it up for good.
const FILE_TIMEOUT_MS = 240_000;
const args = [
  "--enable-source-maps",
  "--test",
  "--test-concurrency=5",
  `--test-timeout=${FILE_TIMEOUT_MS}`,
];
const only = process.argv.slice(2);
const files = testFiles().filter((f) => only.length === 0 || only.some((o) => f.includes(o)));
// Node.js 20 has no --test-skip-pattern; a negative look-ahead selects all other names. Every test counts as
// selected when its parent is, so the runner's root, named "<root>", must not match either.
if (skips.length > 0) {
  args.push(`--test-name-pattern=/^(?!(?:${["<root>", ...skips.map(escape)].join("|")})$)/`);
}
const res = spawnSync(process.execPath, [...args, ...files], { cwd: root, stdio: "inherit" });
process.exit(res.status ?? 1);
