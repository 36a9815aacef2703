/**
 * `npm run bench -- spread` measures the propagation of configuration: the time until a change is in force at all
 * members of a data centre, and the cost in bytes, CPU time and memory.
 *
 * All members run in this process over loopback sockets. Bytes are socket payload, without TCP or IP
 * headers. CPU time and memory are of the whole process; the slope over the number of members is the cost of one.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { type Change, ChangeSchema } from "@wisteriapick/control";
import { SystemClock } from "@wisteriapick/core";
import { MemoryObjectStore } from "@wisteriapick/standins";
import { liveBytes } from "./memory.ts";
import { type BenchGroup, startGroup } from "./propagation_setup.ts";

const SIZES = [10, 50, 100, 200];
/** 100,000 changes a day. */
const DESIGN_CHANGES_PER_SECOND = 100_000 / 86_400;
const CHANGE_INTERVAL_MS = 200;
/** Changes per log entry while the initial configuration is written. */
const BASE_CHANGES_PER_APPEND = 1_000;

/** Results for one group size. */
interface SizeResult {
  readonly members: number;
  readonly changes: number;
  readonly inForceP50Ms: number;
  readonly inForceMaxMs: number;
  readonly idleBytesPerSecondPerMember: number;
  readonly bytesPerChangePerMember: number;
  /** Bytes per second that the busiest member sends to its children, at the design's rate of changes. */
  readonly busiestBytesPerSecond: number;
  readonly idleCpuPercent: number;
  readonly cpuMsPerChange: number;
  readonly liveMb: number;
  readonly storeReadsPerSecond: number;
}

function createBaseChanges(endpoints: number, accounts: number): Change[] {
  const raw: unknown[] = [{
    type: "put_service",
    service: { id: "scribe", kind: "model", versions: [{ id: "v1" }], activeVersion: "v1" },
  }];
  for (let i = 0; i < endpoints; i++) raw.push(createEndpointChange(i));
  for (let i = 0; i < accounts; i++) {
    raw.push({ type: "put_account", account: { id: `account-${i}` } });
  }
  return raw.map((r) => ChangeSchema.parse(r));
}

function createEndpointChange(i: number) {
  return {
    type: "put_endpoint",
    endpoint: { id: `scribe-${i}`, service: "scribe", version: "v1", enforcesFence: i % 2 === 0 },
  };
}

async function waitFor(condition: () => boolean, timeoutMs: number): Promise<void> {
  const clock = new SystemClock();
  const end = clock.now() + timeoutMs;
  while (!condition() && clock.now() < end) await clock.sleep(2);
}

/** Writes changes at a steady rate and returns, for each, the time until it was in force at all members. */
async function measureChanges(group: BenchGroup, seconds: number): Promise<number[]> {
  const clock = new SystemClock();
  const writtenAtMs = new Map<number, number>();
  const pendingMembers = new Map<number, number>();
  const times: number[] = [];
  const unregisterAll = group.members.map((m) => {
    let lastRevision = m.control.state.current().revision as number;
    return m.control.state.registerListener((view) => {
      for (let r = lastRevision + 1; r <= view.revision; r++) {
        const remaining = (pendingMembers.get(r) ?? group.members.length) - 1;
        pendingMembers.set(r, remaining);
        if (remaining === 0) times.push(clock.now() - (writtenAtMs.get(r) ?? clock.now()));
      }
      lastRevision = view.revision;
    });
  });
  const count = Math.round(seconds * 1_000 / CHANGE_INTERVAL_MS);
  for (let i = 0; i < count; i++) {
    const change = ChangeSchema.parse(createEndpointChange(i % 7));
    const startedAt = clock.now();
    const next = group.log.state.current().revision + 1;
    // Measured from before the write, so that the time of the write is included.
    writtenAtMs.set(next, startedAt);
    await group.log.append({
      id: `bench-${next}`,
      note: { who: "bench", atMs: clock.wall(), why: "measure" },
      build: () => [change],
    });
    await clock.sleep(CHANGE_INTERVAL_MS - (clock.now() - startedAt));
  }
  await waitFor(() => times.length >= count, 10_000);
  for (const unregister of unregisterAll) unregister();
  return times;
}

async function measureSize(
  members: number,
  { seconds, seed, endpoints }: { seconds: number; seed: number; endpoints: number },
): Promise<SizeResult> {
  const clock = new SystemClock();
  const store = new MemoryObjectStore({ clock });
  const before = liveBytes();
  const group = await startGroup(members, { store, seed });
  await waitFor(() => group.members.every((m) => m.control.state.ready()), 30_000);
  const base = createBaseChanges(endpoints, endpoints / 3);
  for (let i = 0; i < base.length; i += BASE_CHANGES_PER_APPEND) {
    await group.log.append({
      id: `base-${i}`,
      note: { who: "bench", atMs: clock.wall(), why: "base" },
      build: () => base.slice(i, i + BASE_CHANGES_PER_APPEND),
    });
  }
  const baseRevision = group.log.state.current().revision;
  const allAtBase = () =>
    group.members.every((m) => m.control.state.current().revision >= baseRevision);
  await waitFor(allAtBase, 30_000);
  await clock.sleep(3_000);
  const idle = await measurePhase(group, store, () => clock.sleep(seconds * 1_000));
  let times: number[] = [];
  const busy = await measurePhase(group, store, async () => {
    times = await measureChanges(group, seconds);
  });
  const liveMb = (liveBytes() - before) / 1e6;
  await group.close();
  times.sort((a, b) => a - b);
  const perChange = (a: number, b: number) => (a - b * busy.seconds) / times.length;
  const idleBytes = idle.bytes / idle.seconds;
  const idleMax = idle.busiest / idle.seconds;
  const busiest = idleMax + perChange(busy.busiest, idleMax) * DESIGN_CHANGES_PER_SECOND;
  return {
    members,
    changes: times.length,
    inForceP50Ms: times[times.length >> 1] ?? NaN,
    inForceMaxMs: times.at(-1) ?? NaN,
    idleBytesPerSecondPerMember: idleBytes / members,
    bytesPerChangePerMember: perChange(busy.bytes, idleBytes) / members,
    busiestBytesPerSecond: busiest,
    idleCpuPercent: 100 * idle.cpuMs / (idle.seconds * 1_000),
    cpuMsPerChange: perChange(busy.cpuMs, idle.cpuMs / idle.seconds),
    liveMb,
    storeReadsPerSecond: idle.reads / idle.seconds,
  };
}

async function measurePhase(
  group: BenchGroup,
  store: MemoryObjectStore,
  work: () => Promise<void>,
) {
  const reads = () => {
    const { get, list, watch } = store.counters().calls;
    return get + list + watch;
  };
  const clock = new SystemClock();
  const [startedAt, cpu, bytes, read] = [clock.now(), process.cpuUsage(), group.bytes(), reads()];
  await work();
  const used = process.cpuUsage(cpu);
  const after = group.bytes();
  const sent = [...after.sentByPort].map(([port, n]) => n - (bytes.sentByPort.get(port) ?? 0));
  return {
    seconds: (clock.now() - startedAt) / 1_000,
    cpuMs: (used.user + used.system) / 1_000,
    bytes: after.total - bytes.total,
    busiest: Math.max(0, ...sent),
    reads: reads() - read,
  };
}

/** Returns the least-squares slope of `y` over the number of members. */
function slope(rows: readonly SizeResult[], y: (row: SizeResult) => number): number {
  const n = rows.length;
  const mx = rows.reduce((s, r) => s + r.members, 0) / n;
  const my = rows.reduce((s, r) => s + y(r), 0) / n;
  const cov = rows.reduce((s, r) => s + (r.members - mx) * (y(r) - my), 0);
  return cov / rows.reduce((s, r) => s + (r.members - mx) ** 2, 0);
}

/**
 * Runs the benchmark. Options: `--json`, `--seconds N` per phase, `--seed N`, `--endpoints N` in the configuration,
 * `--sizes 10,50`.
 */
export async function runPropagation(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      json: { type: "boolean", default: false },
      seconds: { type: "string", default: "8" },
      seed: { type: "string", default: "1" },
      endpoints: { type: "string", default: "300" },
      sizes: { type: "string", default: SIZES.join(",") },
    },
  });
  const options = {
    seconds: Number(values.seconds),
    seed: Number(values.seed),
    endpoints: Number(values.endpoints),
  };
  const rows: SizeResult[] = [];
  for (const size of values.sizes!.split(",").map(Number)) {
    rows.push(await measureSize(size, options));
  }
  const slopes = {
    idleCpuPercentPerMember: slope(rows, (r) => r.idleCpuPercent),
    cpuMsPerChangePerMember: slope(rows, (r) => r.cpuMsPerChange),
    liveMbPerMember: slope(rows, (r) => r.liveMb),
  };
  const cpuPercent = slopes.idleCpuPercentPerMember +
    slopes.cpuMsPerChangePerMember * DESIGN_CHANGES_PER_SECOND / 10;
  const report = { bench: "spread", ...options, rows, slopes, cpuPercentAtDesignRate: cpuPercent };
  if (values.json) return void process.stdout.write(JSON.stringify(report) + "\n");
  console.table(rows.map((r) =>
    Object.fromEntries(
      Object.entries(r).map(([k, v]) => [k, Math.round(v * 100) / 100]),
    )
  ));
  console.table(slopes);
  process.stdout.write(
    `one member at the design's rate of changes: ${cpuPercent.toFixed(2)}% of a core\n`,
  );
}
