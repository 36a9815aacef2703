// Bundles the programs that run on the platform into `target/`, or the folder that is given, with V8's code cache. A
// restarting entry has half a core, and compiling its code takes most of the time before it serves.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const target = process.argv[2] ?? `${root}target`;

// Optional dependencies of libraries, left out because resolving and loading them takes longer than loading the
// libraries themselves.
const OPTIONAL_MODULES = [
  "cbor-extract",
  "dtrace-provider",
  "mv",
  "safe-json-stringify",
  "source-map-support",
];

mkdirSync(target, { recursive: true });
// V8 tells sources apart by their length only, and would run an earlier bundle's code.
rmSync(`${target}/entry_bundle.cjs.cache`, { force: true });
await build({
  absWorkingDir: root,
  entryPoints: { entry_bundle: "platform/src/main.ts" },
  outdir: target,
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  // Resolves packages to their sources, so that bundling needs no compiled output.
  conditions: ["source"],
  alias: {
    // All of undici takes twice as long to load as its HTTP/1.1 client alone.
    undici: "./scripts/undici_client.cjs",
  },
  external: OPTIONAL_MODULES,
  minifyWhitespace: true,
  logLevel: "warning",
});

writeFileSync(
  `${target}/entry.cjs`,
  `// Without handlers, these signals would end the process. The program adds its own while it is loaded, and those get
// the signals that came before, as signals are handled once the event loop runs.
for (const signal of ["SIGHUP", "SIGTERM", "SIGINT"]) process.on(signal, () => {});
const firstStatementMs = performance.now();
// Runs the bundle with its code cache; without a valid cache V8 compiles as usual.
const { readFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { Script } = require("node:vm");
const filename = require("node:path").join(__dirname, "entry_bundle.cjs");
let cachedData;
try {
  cachedData = readFileSync(filename + ".cache");
} catch {
  cachedData = undefined;
}
const optionalModules = new Set(${JSON.stringify(OPTIONAL_MODULES)});
const requireModule = (id) => {
  if (optionalModules.has(id)) throw Object.assign(new Error(id + " is left out"), { code: "MODULE_NOT_FOUND" });
  return require(id);
};
const source = wrap(readFileSync(filename, "utf8"));
const script = new Script(source, { filename, cachedData });
// Read by platform/src/start_report.ts.
globalThis[Symbol.for("wisteriapick.load_report")] = {
  firstStatementMs,
  isCodeCacheUsed: script.cachedDataRejected === false,
};
script.runInThisContext().call(exports, exports, requireModule, module, filename, __dirname);
if (process.env.WISTERIAPICK_CODE_CACHE !== undefined) {
  setTimeout(() => {
    require("node:fs").writeFileSync(filename + ".cache", script.createCachedData());
    process.exit(0);
  }, 400);
}
`,
);

/** The options for Node.js with which the platform runs the entry. V8 refuses a code cache of other options. */
function runFlags() {
  const deploy = readFileSync(`${root}deploy/system.toml`, "utf8");
  const run = /^run = "node (.*) target\/entry\.cjs"$/m.exec(deploy);
  if (run === null) throw new Error("deploy/system.toml does not run target/entry.cjs");
  return run[1].split(" ");
}

// Runs the entry briefly with minimal settings, so that the code that a start needs is compiled and cached.
const settings = `${target}/code_cache_settings.yaml`;
writeFileSync(
  settings,
  `name: code-cache
data_centre: none
regions: {}
listen: { callers: "127.0.0.1:0", readiness: "127.0.0.1:0", peers: "127.0.0.1:0" }
store: { address: "127.0.0.1:1" }
cluster_key: none
bounds: { retry_ratio: 0, retry_window_ms: 1000, retry_extra: 0, cold_rate_factor: 1,
  cold_slack: 0, grace_ms: 1000, drain_ms: 1000, expose_share: 0, expose_extra: 0 }
`,
);
const run = spawnSync(process.execPath, [...runFlags(), `${target}/entry.cjs`], {
  env: { ...process.env, WISTERIAPICK_BOOT: settings, WISTERIAPICK_CODE_CACHE: "write" },
  stdio: ["ignore", "ignore", "inherit"],
  timeout: 30_000,
});
if (run.status !== 0) {
  process.stderr.write("failed to create the code cache\n");
  process.exit(1);
}
