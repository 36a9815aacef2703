/**
 * Pools the speeds of endpoints among gateways: each reports what it has measured to one of them, which tells all what
 * the reports show together.
 *
 * In each interval a gateway sends one report and receives one result, so that the messages of all gateways grow with
 * their number. The interval grows with it too, which bounds the load of the gateway that pools. That one keeps nothing
 * that the next reports do not restore, so another can take its place at once.
 *
 * @module
 */
import type { Clock, EndpointId, Undo } from "@wisteriapick/core";
import { SPEED_MEASURES, type SpeedEvidence, SpeedPool } from "@wisteriapick/policy";
import type { SpeedReportItem } from "@wisteriapick/wire";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { PeerGroup } from "./peer_group.ts";
import { TreeBroadcast } from "./tree_broadcast.ts";

/** Evidence of the speed of one process of an endpoint. */
export interface SpeedItem extends SpeedEvidence {
  /** Unix time of the endpoint's start; `null` if not known. */
  readonly startedAtUnixMs: number | null;
}

/** Options of {@link SpeedExchange}. */
export interface SpeedExchangeOptions {
  readonly network: PeerGroup;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Shortest interval between reports, in milliseconds. */
  readonly intervalMs: number;
  /** What this gateway has measured. */
  readonly summary: () => readonly SpeedItem[];
  /** Called with what all gateways together have measured. */
  readonly onPooled: (items: readonly SpeedItem[]) => void;
}

/** Protocol version from which on gateways understand these messages. */
const SINCE_VERSION = 6;
const SUBJECT = "endpoint_speeds";
/** Interval for each gateway: the one that pools handles at most 250 reports in a second. */
const INTERVAL_MS_PER_GATEWAY = 4;
/** Largest number of items in one message; endpoints with the most evidence go first. */
const MAX_ITEMS = 512;
/** Weight of evidence below which it is not reported. */
const MIN_WEIGHT = 0.2;
/** Age from which on a result is dropped, in milliseconds. */
const MAX_AGE_MS = 2_000;
/** Bound of levels, as logarithms: no measured time is further from what is assumed. */
const MAX_LEVEL = 10;
/** Levels and weights are sent as whole numbers of these. */
const LEVEL_STEP = 0.01;
const WEIGHT_STEP = 0.1;

/** Reports, pools and receives speeds. */
export class SpeedExchange {
  readonly #options: SpeedExchangeOptions;
  readonly #broadcast: TreeBroadcast;
  readonly #pool = new SpeedPool<SpeedItem>();
  readonly #undos: Undo[];
  #dueAtMs: number;

  constructor(options: SpeedExchangeOptions) {
    const { network, clock, log, intervalMs } = options;
    this.#options = options;
    this.#dueAtMs = clock.now() + intervalMs;
    this.#broadcast = new TreeBroadcast({
      network,
      clock,
      log,
      subject: SUBJECT,
      sinceVersion: SINCE_VERSION,
    });
    this.#undos = [
      network.registerHandler("speed_report", (peer, { items }) => {
        this.#pool.record(peer, decode(items), clock.now());
      }),
      network.registerHandler("endpoint_speeds", (_peer, msg) => {
        const { items, ageMs } = msg;
        if (ageMs <= MAX_AGE_MS) options.onPooled(decode(items));
        if (msg.origin !== network.name) this.#broadcast.send({ ...msg, hops: msg.hops + 1 });
      }),
      network.registerDown((peer) => this.#pool.remove(peer)),
      clock.setRepeating(intervalMs, () => this.#tick()),
    ];
  }

  /** Disconnects from the network. */
  close(): void {
    for (const undo of this.#undos) undo();
  }

  #tick(): void {
    const { network, clock, intervalMs, summary, onPooled } = this.#options;
    const now = clock.now();
    // Timers fire slightly early or late; half an interval is not worth a wait of a whole one.
    if (now < this.#dueAtMs - intervalMs / 2) return;
    const order = network.orderOf(SUBJECT, (peer) => this.#broadcast.understands(peer));
    this.#dueAtMs = now + Math.max(intervalMs, order.length * INTERVAL_MS_PER_GATEWAY);
    const items = heaviest(summary());
    const coordinator = order[0] ?? network.name;
    if (coordinator !== network.name) {
      this.#pool.clear();
      if (items.length === 0 || network.isCongested(coordinator)) return;
      network.send(coordinator, { kind: "speed_report", items: encode(items) });
      return;
    }
    this.#pool.record(network.name, items, now);
    const pooled = heaviest(this.#pool.pooled(now));
    if (pooled.length === 0) return;
    onPooled(pooled);
    this.#broadcast.send({
      kind: "endpoint_speeds",
      origin: network.name,
      hops: 0,
      ageMs: 0,
      items: encode(pooled),
    });
  }
}

/** The items of the endpoints of which most is known; an endpoint goes with all of its items or with none. */
function heaviest(items: readonly SpeedItem[]): readonly SpeedItem[] {
  const known = items.filter(({ weight }) => weight >= MIN_WEIGHT);
  if (known.length <= MAX_ITEMS) return known;
  const byEndpoint = new Map<EndpointId, SpeedItem[]>();
  for (const item of known) {
    const list = byEndpoint.get(item.endpoint);
    if (list === undefined) byEndpoint.set(item.endpoint, [item]);
    else list.push(item);
  }
  const weightOf = (list: readonly SpeedItem[]) => list.reduce((sum, e) => sum + e.weight, 0);
  const lists = [...byEndpoint.values()].sort((a, b) => weightOf(b) - weightOf(a));
  const chosen: SpeedItem[] = [];
  for (const list of lists) {
    if (chosen.length + list.length > MAX_ITEMS) break;
    chosen.push(...list);
  }
  return chosen;
}

function encode(items: readonly SpeedItem[]): SpeedReportItem[] {
  return items.map(({ endpoint, startedAtUnixMs, measure, level, weight }) => ({
    endpoint,
    startedAtUnixMs,
    measure: SPEED_MEASURES.indexOf(measure),
    level: Math.round(level / LEVEL_STEP),
    weight: Math.round(weight / WEIGHT_STEP),
  }));
}

/** Leaves out items with measures that a newer version has added. */
function decode(items: readonly SpeedReportItem[]): SpeedItem[] {
  return items.slice(0, MAX_ITEMS).flatMap((item) => {
    const measure = SPEED_MEASURES[item.measure];
    if (measure === undefined) return [];
    return [{
      endpoint: item.endpoint as EndpointId,
      startedAtUnixMs: item.startedAtUnixMs,
      measure,
      level: Math.max(-MAX_LEVEL, Math.min(MAX_LEVEL, item.level * LEVEL_STEP)),
      weight: item.weight * WEIGHT_STEP,
    }];
  });
}
