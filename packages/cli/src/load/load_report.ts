/**
 * Renders the result of a load as an HTML page with charts.
 *
 * @module
 */
import * as echarts from "echarts";
import type { LoadResult } from "./load_runner.ts";
import type { GroupSummary, Percentiles } from "./load_stats.ts";

const CHART_WIDTH_PX = 820;
const CHART_HEIGHT_PX = 300;

function renderChart(option: echarts.EChartsCoreOption): string {
  const size = { width: CHART_WIDTH_PX, height: CHART_HEIGHT_PX };
  const instance = echarts.init(null, null, { renderer: "svg", ssr: true, ...size });
  instance.setOption({ animation: false, ...option });
  const svg = instance.renderToSVGString();
  instance.dispose();
  return svg;
}

function escapeHtml(text: string): string {
  const entities: Record<string, string> = {
    "&": "&amp;",
    "<": "&lt;",
    ">": "&gt;",
    '"': "&quot;",
  };
  return text.replace(/[&<>"]/g, (c) => entities[c]!);
}

function renderTimeline(result: LoadResult): string {
  const line = (name: string, data: number[]) => ({ name, type: "line", showSymbol: false, data });
  return renderChart({
    title: { text: "Requests and tokens per second" },
    legend: { top: 28 },
    grid: { top: 70 },
    xAxis: { type: "category", name: "s", data: result.seconds.map((_, i) => i) },
    yAxis: [{ type: "value", name: "requests" }, { type: "value", name: "tokens" }],
    series: [
      line("sent", result.seconds.map((s) => s.sent)),
      line("completed", result.seconds.map((s) => s.completed)),
      line("refused or failed", result.seconds.map((s) => s.problems)),
      { ...line("tokens", result.seconds.map((s) => s.tokens)), yAxisIndex: 1 },
    ],
  });
}

function renderPercentiles(result: LoadResult): string {
  const names = Object.keys(result.services);
  const bars = (name: string, pick: (g: GroupSummary) => Percentiles) => ({
    name,
    type: "bar",
    data: names.map((n) => pick(result.services[n]!).p99),
  });
  return renderChart({
    title: { text: "99th percentile by service, ms" },
    legend: { top: 28 },
    grid: { top: 70 },
    xAxis: { type: "category", data: names },
    yAxis: { type: "value" },
    series: [
      bars("first token", (g) => g.firstTokenMs),
      bars("gap", (g) => g.gapMs),
      bars("stall", (g) => g.stallMs),
    ],
  });
}

function renderProblems(result: LoadResult): string {
  const entries = Object.entries(result.total.problems);
  if (entries.length === 0) return "<p>No request was refused or failed.</p>";
  return renderChart({
    title: { text: "Refusals and failures by type" },
    grid: { left: 180 },
    xAxis: { type: "value" },
    yAxis: { type: "category", data: entries.map(([type]) => type) },
    series: [{ type: "bar", data: entries.map(([, n]) => n) }],
  });
}

function renderRow(name: string, g: GroupSummary): string {
  const cells = [
    name,
    g.sent,
    g.completed,
    g.goodput.tokensPerSecond.toFixed(0),
    ...[g.firstTokenMs, g.gapMs, g.stallMs].flatMap((p) => [p.p50, p.p95, p.p99]),
  ];
  return `<tr>${cells.map((c) => `<td>${escapeHtml(String(c))}</td>`).join("")}</tr>`;
}

/** Renders a self-contained page that loads no external resources. */
export function loadReportHtml(result: LoadResult): string {
  const countHeadings = ["", "sent", "completed", "tokens/s"];
  const timeHeadings = ["first token", "gap", "stall"].flatMap((m) =>
    ["50", "95", "99"].map((p) => `${m} p${p}`)
  );
  const rows = [
    renderRow("all", result.total),
    ...Object.entries(result.services).map(([n, g]) => renderRow(`service ${n}`, g)),
    ...Object.entries(result.accounts).map(([n, g]) => renderRow(`account ${n}`, g)),
  ];
  const { url, requestsPerSecond, durationMs, seed } = result.options;
  const description = `${url}, ${requestsPerSecond} requests/s for ${
    durationMs / 1_000
  } s, seed ${seed}`;
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Load result</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .6em;text-align:right}</style>
</head><body><h1>Load result</h1><p>${escapeHtml(description)}</p>
${renderTimeline(result)}${renderPercentiles(result)}${renderProblems(result)}
<table><tr>${[...countHeadings, ...timeHeadings].map((h) => `<th>${h}</th>`).join("")}</tr>${
    rows.join("\n")
  }</table>
</body></html>
`;
}
