// Bundles the programs that run on the platform into `target/`. Only what they import is loaded at their start.
import { build } from "esbuild";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));

await build({
  absWorkingDir: root,
  entryPoints: { entry: "platform/src/main.ts" },
  outdir: "target",
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  // Packages are taken from their sources, so that the build needs no compiled output.
  conditions: ["source"],
  // Optional native parts that the libraries do without.
  external: ["cbor-extract", "dtrace-provider", "mv", "safe-json-stringify", "source-map-support"],
  sourcemap: false,
  logLevel: "warning",
});
