/**
 * Renders the HTML report of a run, with its charts as inline SVG.
 *
 * @module
 */
import * as echarts from "echarts";
import type { ExperimentOutput } from "./output.ts";
import type { Measures } from "./types.ts";

const WIDTH_PX = 560;
const HEIGHT_PX = 300;

const CHARTS: readonly { title: string; log: boolean; of: (m: Measures) => number }[] = [
  { title: "p99 stall (ms)", log: true, of: (m) => m.stall_ms.p99 },
  { title: "p99 first token (ms)", log: true, of: (m) => m.first_token_ms.p99 },
  { title: "p99 gap between tokens (ms)", log: false, of: (m) => m.token_gap_ms.p99 },
  { title: "Preemptions per 1000 requests", log: false, of: (m) => m.preemptions_per_1000 },
  { title: "Goodput (tokens/s)", log: false, of: (m) => m.goodput_tokens_per_s },
  { title: "Refused requests", log: false, of: (m) => m.refused },
];

/** Renders one bar chart as an SVG string. */
function renderChart(title: string, log: boolean, names: string[], values: number[]): string {
  const chart = echarts.init(null, null, {
    renderer: "svg",
    ssr: true,
    width: WIDTH_PX,
    height: HEIGHT_PX,
  });
  chart.setOption({
    animation: false,
    title: { text: title, textStyle: { fontSize: 14 } },
    grid: { left: 70, right: 20, bottom: 40 },
    xAxis: { type: "category", data: names, axisLabel: { fontSize: 10, interval: 0 } },
    yAxis: log ? { type: "log", min: 1 } : { type: "value" },
    // A logarithmic axis cannot show 0.
    series: [{ type: "bar", data: log ? values.map((v) => Math.max(1, v)) : values }],
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");
}

/** Renders the report of one run as an HTML page. */
export function toHtml(output: ExperimentOutput, table: string): string {
  const names = Object.keys(output.policies);
  const charts = CHARTS.map(({ title, log, of }) =>
    renderChart(title, log, names, Object.values(output.policies).map(of))
  );
  const heading = `${output.scenario}, seed ${output.seed}, load ${output.load}`;
  return [
    "<!doctype html>",
    `<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(heading)}</title></head>`,
    `<body style="font-family: sans-serif"><h1>${escapeHtml(heading)}</h1>`,
    ...charts.map((svg) => `<figure style="display: inline-block">${svg}</figure>`),
    `<pre>${escapeHtml(table)}</pre>`,
    "</body></html>",
    "",
  ].join("\n");
}
