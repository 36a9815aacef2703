// `npm test`: installs what is missing, builds, and runs every test.
// Skips tests listed in KNOWN-RED.txt by their exact names, and prints those names.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { prepare } from "./build.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));

/** Reads the test names in the `test:` lines of KNOWN-RED.txt. */
function readKnownRedTests() {
  const file = `${root}KNOWN-RED.txt`;
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, "utf8").split("\n");
  return lines.filter((l) => l.startsWith("test: ")).map((l) => l.slice("test: ".length).trim());
}

/** Lists the compiled tests that still have a source file, so that stale output is never run. */
function listTestFiles() {
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
const skips = readKnownRedTests();
for (const name of skips) console.log(`known red, passed over: ${name}`);
const escapeRegExp = (s) => s.replace(/[.*+?^${}()|[\]\\/]/g, "\\$&");
// A test file that never ends fails after this time; without a limit it would block the run for ever.
const FILE_TIMEOUT_MS = 240_000;
// Files that run after the others, one at a time, as they load the machine and check memory. They take longer.
const APART = [
  "packages/cli/dist/tests/uncontrolled_callers_test.js",
  "platform/dist/tests/uncontrolled_callers_test.js",
  "platform/dist/tests/uncontrolled_ports_test.js",
];
const APART_TIMEOUT_MS = 600_000;
const args = ["--enable-source-maps", "--test"];
const pathFilters = process.argv.slice(2);
const files = listTestFiles().filter((f) =>
  pathFilters.length === 0 || pathFilters.some((p) => f.includes(p))
);
// Node.js 20 has no --test-skip-pattern; a negative look-ahead selects all other names. A test is selected when
// its parent is, so the runner's root, named "<root>", must not match either.
if (skips.length > 0) {
  args.push(`--test-name-pattern=/^(?!(?:${["<root>", ...skips.map(escapeRegExp)].join("|")})$)/`);
}
/** Runs test files. Returns the exit status of the runner; 0 if there are none. */
function runFiles(paths, { concurrency, timeoutMs }) {
  if (paths.length === 0) return 0;
  const limits = [`--test-concurrency=${concurrency}`, `--test-timeout=${timeoutMs}`];
  const res = spawnSync(process.execPath, [...args, ...limits, ...paths], {
    cwd: root,
    stdio: "inherit",
  });
  return res.status ?? 1;
}

const together = files.filter((f) => !APART.includes(f));
const status = runFiles(together, { concurrency: 5, timeoutMs: FILE_TIMEOUT_MS });
const apart = files.filter((f) => APART.includes(f));
const apartStatus = runFiles(apart, { concurrency: 1, timeoutMs: APART_TIMEOUT_MS });
process.exit(status === 0 ? apartStatus : status);
