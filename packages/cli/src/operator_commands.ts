/**
 * The operator commands `plan`, `confirm`, `status` and `watch`.
 *
 * @module
 */
import { readFileSync, writeFileSync } from "node:fs";
import {
  type IntentInput,
  OperatorClient,
  type OperatorEvent,
  parseDeadline,
  type Plan,
  type SystemStatus,
} from "@wisteriapick/control";
import Table from "cli-table3";
import { type CommandDef, defineCommand } from "citty";
import { parse } from "yaml";
import { raiseUsageError, runCommand } from "./outcome.ts";

const WATCH_LONG_POLL_MS = 15_000;

const common = {
  url: { type: "string", description: "Address of an entry", default: "http://127.0.0.1:8080" },
  key: { type: "string", description: "Operator key; default: the variable WISTERIAPICK_KEY" },
  json: { type: "boolean", description: "Print JSON", default: false },
} as const;

interface CommonArgs {
  readonly url: string;
  readonly key?: string;
  readonly json: boolean;
}

function createClient({ url, key = process.env.WISTERIAPICK_KEY }: CommonArgs): OperatorClient {
  if (key === undefined || key === "") {
    raiseUsageError("no operator key: pass --key or set WISTERIAPICK_KEY");
  }
  return new OperatorClient({ url, key });
}

function printResult(json: boolean, value: unknown, text: () => string): void {
  process.stdout.write((json ? JSON.stringify(value) : text()) + "\n");
}

async function createPlan(args: CommonArgs, intent: IntentInput): Promise<void> {
  const plan = await createClient(args).plan(intent);
  printResult(args.json, plan, () => describePlan(plan));
}

/** Formats a plan as human-readable text. */
export function describePlan(plan: Plan): string {
  const section = (title: string, lines: readonly string[]) =>
    lines.length === 0 ? [] : [`${title}:`, ...lines.map((l) => `  ${l}`)];
  const load = plan.load.map((l) =>
    `${l.service}: ${l.mustBear} concurrent requests on an allowance of ${l.canBear} ` +
    `(${l.endpoints} endpoints)`
  );
  return [
    `plan ${plan.id} on revision ${plan.baseRevision}`,
    ...section("will change", plan.changes),
    ...section("load on the remaining endpoints", load),
    ...section("unknown", plan.unknown),
    ...section("warnings", plan.warnings),
    `nothing has changed yet; to carry the plan out, run: wisteriapick confirm ${plan.id}`,
  ].join("\n");
}

const outCommand = defineCommand({
  meta: { name: "out", description: "Plan to take a data centre out" },
  args: { ...common, dc: { type: "positional", description: "Data centre", required: true } },
  run: ({ args }) => runCommand(() => createPlan(args, { type: "out", dataCentre: args.dc })),
});

const inCommand = defineCommand({
  meta: { name: "in", description: "Plan to take a data centre back in" },
  args: { ...common, dc: { type: "positional", description: "Data centre", required: true } },
  run: ({ args }) => runCommand(() => createPlan(args, { type: "in", dataCentre: args.dc })),
});

const moveCommand = defineCommand({
  meta: { name: "move", description: "Plan to move a service to another version" },
  args: {
    ...common,
    service: { type: "positional", description: "Service", required: true },
    from: { type: "positional", description: "Current version", required: true },
    to: { type: "positional", description: "New version", required: true },
    by: { type: "string", description: "Deadline: HH:MM or a date and time", required: true },
  },
  run: ({ args }) =>
    runCommand(() => {
      const { service, from, to } = args;
      return createPlan(args, {
        type: "move",
        service,
        from,
        to,
        byMs: parseDeadline(args.by, Date.now()),
      });
    }),
});

const applyCommand = defineCommand({
  meta: { name: "apply", description: "Plan to apply the configuration objects of a YAML file" },
  args: { ...common, file: { type: "positional", description: "YAML file", required: true } },
  run: ({ args }) =>
    runCommand(() =>
      createPlan(args, { type: "apply", file: parse(readFileSync(args.file, "utf8")) })
    ),
});

const takeBackCommand = defineCommand({
  meta: { name: "take-back", description: "Plan to roll back a move" },
  args: { ...common, move: { type: "positional", description: "Move", required: true } },
  run: ({ args }) => runCommand(() => createPlan(args, { type: "take_back", move: args.move })),
});

export const planCommand = defineCommand({
  meta: { name: "plan", description: "Make a plan; nothing changes until it is confirmed" },
  subCommands: {
    out: outCommand as CommandDef,
    in: inCommand as CommandDef,
    move: moveCommand as CommandDef,
    apply: applyCommand as CommandDef,
    "take-back": takeBackCommand as CommandDef,
  },
});

export const confirmCommand = defineCommand({
  meta: { name: "confirm", description: "Carry a plan out" },
  args: { ...common, plan: { type: "positional", description: "Plan", required: true } },
  run: ({ args }) =>
    runCommand(async () => {
      const confirmed = await createClient(args).confirm(args.plan);
      printResult(args.json, confirmed, () =>
        `plan ${confirmed.plan} accepted as revision ${confirmed.revision}`);
    }),
});

export const statusCommand = defineCommand({
  meta: { name: "status", description: "Show the state of the system" },
  args: {
    ...common,
    dump: { type: "string", description: "Write the tables of the responding entry to this file" },
  },
  run: ({ args }) =>
    runCommand(async () => {
      const client = createClient(args);
      if (args.dump !== undefined) {
        const tables = await client.dump();
        return writeFileSync(args.dump, `${JSON.stringify(tables, null, 2)}\n`);
      }
      const status = await client.status();
      printResult(args.json, status, () => describeStatus(status));
    }),
});

export const watchCommand = defineCommand({
  meta: {
    name: "watch",
    description: "Follow changes, including when a move is completed or rolled back",
  },
  args: common,
  run: ({ args }) =>
    runCommand(async () => {
      const client = createClient(args);
      let after = (await client.status()).revision;
      for (;;) {
        for (const event of await client.events({ after, waitMs: WATCH_LONG_POLL_MS })) {
          after = event.revision;
          printResult(args.json, event, () => describeEvent(event));
        }
      }
    }),
});

/** The operator commands by name, added to the root command. */
export const operatorCommands: Readonly<Record<string, CommandDef>> = {
  plan: planCommand as CommandDef,
  confirm: confirmCommand as CommandDef,
  status: statusCommand as CommandDef,
  watch: watchCommand as CommandDef,
};

/** Formats an event as one human-readable line. */
export function describeEvent(event: OperatorEvent): string {
  const at = new Date(event.atMs).toISOString();
  return `${at} revision ${event.revision} ${event.who}: ${
    event.changes.join("; ")
  } (${event.why})`;
}

function formatTable(head: string[], rows: readonly (readonly unknown[])[]): string {
  const out = new Table({ head, style: { head: [], border: [] } });
  for (const row of rows) out.push(row.map((cell) => String(cell ?? "?")));
  return out.toString();
}

/** Formats the status as human-readable tables. */
export function describeStatus(s: SystemStatus): string {
  const behind = s.processes.filter((p) => p.behind);
  const behindLines = behind.map((p) => `  ${p.process}: ${p.revision ?? "no response"}`);
  return [
    `revision ${s.revision}, verified as the newest ${Math.round(s.asOfMs ?? NaN)} ms ago, ` +
    `store ${s.storeUp ? "up" : "down"}`,
    formatTable(
      ["service", "version", "endpoints", "running", "allowance"],
      s.services.map((x) => [x.id, x.activeVersion, x.endpoints, x.running, x.allowance]),
    ),
    formatTable(
      ["data centre", "state", "endpoints", "running"],
      s.dataCentres.map((x) => [x.id, x.state, x.endpoints, x.running]),
    ),
    formatTable(
      ["endpoint", "data centre", "version", "wanted", "running", "allowance", "owned"],
      s.endpoints.map((e) => [
        e.endpoint,
        e.dataCentre,
        e.version,
        e.wantedVersion,
        e.running,
        e.allowance,
        e.owned,
      ]),
    ),
    formatTable(
      ["move", "service", "from", "to", "state", "share", "left s", "reason"],
      s.moves.map((m) => [
        m.id,
        m.service,
        m.from,
        m.to,
        m.state,
        m.share,
        Math.round(m.leftMs / 1_000),
        m.reason,
      ]),
    ),
    formatTable(["lease", "holder", "fence"], s.leases.map((l) => [l.duty, l.holder, l.fence])),
    `${s.processes.length} processes, ${behind.length} behind`,
    ...behindLines,
  ].join("\n");
}
