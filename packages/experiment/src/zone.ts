/**
 * Scenario `zone`: a data centre leaves under load and comes back.
 *
 * Entries and sides run the real placement, admission and spread code; engines are models.
 *
 * @module
 */
import {
  admittedShare,
  type Change,
  ChangeSchema,
  excludedDataCentres,
  type PropagationMember,
} from "@wisteriapick/control";
import {
  accountId,
  type DataCentreId,
  dataCentreId,
  type EndpointId,
  endpointId,
  ManualClock,
  Rng,
  serviceId,
} from "@wisteriapick/core";
import type { AdmissionRequest } from "@wisteriapick/policy";
import { CLIENT_DELAY_MS, LINK_DELAY_MS } from "./delays.ts";
import { Fleet } from "./fleet.ts";
import { Recorder } from "./recorder.ts";
import { SimEntry } from "./sim_entry.ts";
import { SimLink } from "./sim_link.ts";
import { type SideClient, SimSide } from "./sim_side.ts";
import { SimSpread } from "./sim_spread.ts";
import type { EndpointSpec, Job, Setup, WorkKind } from "./types.ts";
import { arrivalRate, drawJobs } from "./request_mix.ts";

const CENTRES = ["accra-osu", "accra-tema", "accra-legon"].map(dataCentreId);
const LEAVING = dataCentreId("accra-tema");
const SCRIBE = serviceId("scribe");
const ENDPOINTS = 10;
const HALF_MS = 0.5;

/** Faults of a run. */
export type ZoneFault =
  | "none"
  /** The store goes down in the moment of the acceptance of `out`, for a minute. */
  | "store_down"
  /** The open control connections of another data centre's entry go silent at the acceptance. */
  | "silent_entry"
  /** Those of all processes of the leaving data centre go silent, and so do its calls to the store. */
  | "silent_centre";

/** Options of {@link runZone}. Times are ms from the start. */
export interface ZoneOptions {
  readonly seed: number;
  readonly load?: number;
  readonly fault?: ZoneFault;
  /** Whether requests and answers carry the configuration revision. */
  readonly revisionOnRequests?: boolean;
  readonly outAtMs?: number;
  readonly backAtMs?: number;
  readonly arrivalMs?: number;
}

/** Figures of one run. */
export interface ZoneReport {
  readonly scenario: "zone";
  readonly seed: number;
  readonly load: number;
  readonly fault: ZoneFault;
  readonly revision_on_requests: boolean;
  /** Time from acceptance to the last request that an entry sent to the data centre; 0 when none was sent. */
  readonly last_sent_s: number;
  /** The same for the last request that a side there admitted. */
  readonly last_admitted_s: number;
  readonly sent_after_out: number;
  readonly admitted_after_out: number;
  /** Running requests of the data centre at acceptance, and how many of them ended whole. */
  readonly running_at_out: number;
  readonly running_completed: number;
  readonly stall_p99_ms: { readonly before: number; readonly out: number; readonly back: number };
  readonly refused: number;
  readonly failed: number;
  readonly cold_overloads: number;
}

/** A side that refuses new work while its data centre is out. */
class ZoneSide extends SimSide {
  gate: (req: AdmissionRequest) => boolean = () => true;

  override offer(job: Job, req: AdmissionRequest, client: SideClient): void {
    if (this.gate(req)) super.offer(job, req, client);
    else client.notRun("data_centre_out", undefined, this.load());
  }
}

const DRAFTS: WorkKind = {
  kind: "draft",
  service: SCRIBE,
  share: 1,
  medianTokens: 120,
  sigma: 1.1,
  maxTokens: 8_000,
  promptTokens: 300,
  accounts: Array.from(
    { length: 10 },
    (_, i) => ({ account: accountId(`account-${i}`), share: 1 }),
  ),
};

class ZoneRun {
  readonly #clock = new ManualClock({ wallStart: 0 });
  readonly #o: Required<ZoneOptions>;
  readonly #setup: Setup;
  readonly #recorder: Recorder;
  readonly #fleet: Fleet;
  readonly #spread: SimSpread;
  readonly #sides = new Map<EndpointId, ZoneSide>();
  readonly #entries: SimEntry[];
  #lastSentMs = 0;
  #lastAdmittedMs = 0;
  #sent = 0;
  #admitted = 0;
  readonly #runningThere = new Set<number>();
  #watched: number[] = [];
  #watchedDone = 0;

  constructor(options: ZoneOptions) {
    this.#o = {
      seed: options.seed,
      load: options.load ?? 0.6,
      fault: options.fault ?? "none",
      revisionOnRequests: options.revisionOnRequests ?? true,
      outAtMs: options.outAtMs ?? 180_000,
      backAtMs: options.backAtMs ?? 360_000,
      arrivalMs: options.arrivalMs ?? 600_000,
    };
    this.#setup = this.#build();
    this.#recorder = new Recorder(this.#o.arrivalMs);
    const rng = new Rng(this.#o.seed);
    this.#spread = new SimSpread({
      clock: this.#clock,
      rng: rng.fork("spread"),
      members: this.#members(),
    });
    this.#entries = CENTRES.map((dc, i) => this.#makeEntry(dc, i, rng));
    this.#fleet = new Fleet(this.#clock, this.#setup, rng.fork("engines"), {
      onJoin: (spec) => this.#join(spec),
      onStep: (endpoint, step) => this.#sides.get(endpoint)!.step(step),
      onFinish: (endpoint, gen, how) => this.#sides.get(endpoint)!.finish(gen, how),
      onCrash: (endpoint) => this.#sides.get(endpoint)?.crashed(),
      onRestart: () => {},
      onDisturbance: () => {},
    });
  }

  run(): ZoneReport {
    const { arrivalMs, outAtMs, backAtMs } = this.#o;
    this.#spread.accept(this.#base(), "entry-0");
    for (const job of this.#setup.jobs) {
      this.#clock.setTimer(job.atMs, () => this.#recorder.arrive(job));
      this.#clock.setTimer(job.atMs + CLIENT_DELAY_MS, () => this.#entries[job.entry]!.accept(job));
    }
    this.#clock.setTimer(outAtMs, () => this.#takeOut());
    this.#clock.setTimer(backAtMs, () => this.#set("returning"));
    this.#clock.setRepeating(500, () => this.#report());
    this.#clock.advance(arrivalMs + 60_000);
    return this.#result();
  }

  #build(): Setup {
    const { seed, load, arrivalMs } = this.#o;
    const endpoints: EndpointSpec[] = Array.from({ length: ENDPOINTS }, (_, i) => ({
      endpoint: endpointId(`scribe-${i}`),
      service: SCRIBE,
      dataCentre: CENTRES[i % CENTRES.length]!,
      engine: {},
    }));
    const rate = arrivalRate(endpoints, [DRAFTS], load);
    const rng = new Rng(seed).fork("zone");
    const rates = new Map([[SCRIBE, rate]]);
    const drawn = drawJobs({ kinds: [DRAFTS], rates, arrivalMs, entries: CENTRES.length, rng });
    const jobs = drawn.map((job) => ({ ...job, kind: this.#phase(job.atMs) }));
    return {
      scenario: "zone",
      seed,
      load,
      entries: CENTRES.length,
      arrivalMs,
      endpoints,
      jobs,
      disturbances: [],
      reportIntervalMs: 500,
      reportLagMs: 250,
      restartMs: 5_000,
      resend: { ms: 20, times: 0 },
    };
  }

  /** The minute after the start is left out: the engines' allowances are still being learned. */
  #phase(atMs: number): string {
    if (atMs < 60_000) return "start";
    if (atMs < this.#o.outAtMs) return "before";
    return atMs < this.#o.backAtMs ? "out" : "back";
  }

  #members(): PropagationMember[] {
    const entries = CENTRES.map((dataCentre, i) => ({
      key: `entry-${i}`,
      dataCentre,
      address: `entry-${i}`,
    }));
    const sides = this.#setup.endpoints.map(({ endpoint, dataCentre }) => ({
      key: endpoint as string,
      dataCentre,
      address: endpoint as string,
    }));
    return [...entries, ...sides];
  }

  #base(): Change[] {
    const centres = CENTRES.map((id) => ({
      type: "put_data_centre",
      dataCentre: { id, region: "accra" },
    }));
    return centres.map((c) => ChangeSchema.parse(c));
  }

  #makeEntry(dataCentre: DataCentreId, i: number, rng: Rng): SimEntry {
    return new SimEntry({
      clock: this.#clock,
      name: `entry-${i}`,
      rng: rng.fork(`entry-${i}`),
      recorder: this.#recorder,
      onSuspect: () => {},
      options: {
        placement: { dataCentre },
        closed: (job) => this.#closed(`entry-${i}`, job),
      },
    });
  }

  #closed(entry: string, job: Job): ReadonlySet<EndpointId> {
    const view = this.#spread.nodes.get(entry)!.state.current();
    const centres = excludedDataCentres(view, `r${job.index}`, this.#clock.wall());
    const specs = this.#setup.endpoints.filter((e) => centres.has(e.dataCentre));
    return new Set(specs.map((e) => e.endpoint));
  }

  #join(spec: EndpointSpec): void {
    const side = new ZoneSide(this.#clock, this.#fleet, spec, {});
    this.#sides.set(spec.endpoint, side);
    side.gate = (req) => this.#gate(spec, req);
    CENTRES.forEach((dc, i) => {
      const far = spec.dataCentre === dc ? 0 : HALF_MS;
      this.#entries[i]!.addSide(side, new SimLink(this.#clock, LINK_DELAY_MS + far));
    });
    // Requests running at a side are those it admitted and did not end.
    const offer = side.offer.bind(side);
    side.offer = (job, req, client) => offer(job, req, this.#observe(spec, job, client));
  }

  #observe(spec: EndpointSpec, job: Job, client: SideClient): SideClient {
    if (spec.dataCentre !== LEAVING) return client;
    return {
      ...client,
      admitted: (load) => {
        this.#runningThere.add(job.index);
        if (this.#isOut()) {
          this.#admitted++;
          this.#lastAdmittedMs = this.#clock.now();
        }
        client.admitted(load);
      },
      notRun: (reason, retryAfterMs, load) => {
        this.#runningThere.delete(job.index);
        client.notRun(reason, retryAfterMs, load);
      },
      token: (offset) => client.token(offset),
      ended: (load) => {
        this.#runningThere.delete(job.index);
        if (this.#watched.includes(job.index)) this.#watchedDone++;
        client.ended(load);
      },
      failed: (load) => {
        this.#runningThere.delete(job.index);
        client.failed(load);
      },
    };
  }

  #isOut(): boolean {
    const now = this.#clock.now();
    return now > this.#o.outAtMs && now < this.#o.backAtMs;
  }

  /** The side's check of a request from an entry; with revisions on requests both hear of each other's. */
  #gate(spec: EndpointSpec, req: AdmissionRequest): boolean {
    const entry = req.gen.slice(0, req.gen.lastIndexOf("."));
    if (spec.dataCentre === LEAVING && this.#isOut()) {
      this.#sent++;
      this.#lastSentMs = this.#clock.now() - LINK_DELAY_MS;
    }
    if (this.#o.revisionOnRequests) {
      this.#spread.hear(spec.endpoint, entry);
      this.#clock.setTimer(LINK_DELAY_MS, () => this.#spread.hear(entry, spec.endpoint));
    }
    const dc = this.#spread.nodes.get(spec.endpoint)!.state.current().dataCentres.get(
      spec.dataCentre,
    );
    return dc === undefined || admittedShare(dc, this.#clock.wall()) > 0;
  }

  #takeOut(): void {
    const { fault } = this.#o;
    this.#watched = [...this.#runningThere];
    const minute = 60_000;
    const there = this.#setup.endpoints.filter((e) => e.dataCentre === LEAVING);
    const centre = new Set<string>(["entry-1", ...there.map((e) => e.endpoint)]);
    if (fault === "silent_entry") this.#spread.silence(new Set(["entry-2"]), minute);
    if (fault === "silent_centre") this.#spread.silence(centre, minute);
    if (fault === "store_down") {
      this.#spread.storeUp = false;
      this.#clock.setTimer(minute, () => this.#spread.storeUp = true);
    }
    this.#set("out");
  }

  #set(state: "out" | "returning"): void {
    const atMs = this.#clock.wall();
    this.#spread.accept([{ type: "set_data_centre_state", id: LEAVING, state, atMs }], "entry-0");
  }

  #report(): void {
    for (const side of this.#sides.values()) {
      const load = side.load();
      this.#clock.setTimer(this.#setup.reportLagMs, () => {
        for (const entry of this.#entries) entry.recordLoad(load);
      });
    }
  }

  #result(): ZoneReport {
    const { seed, load, fault, revisionOnRequests, outAtMs } = this.#o;
    const res = this.#recorder.result(this.#fleet.counts());
    const stall = (phase: string) => res.byKind[phase]?.stall_p99_ms ?? 0;
    const since = (ms: number) => ms === 0 ? 0 : Math.round(ms - outAtMs) / 1_000;
    return {
      scenario: "zone",
      seed,
      load,
      fault,
      revision_on_requests: revisionOnRequests,
      last_sent_s: since(this.#lastSentMs),
      last_admitted_s: since(this.#lastAdmittedMs),
      sent_after_out: this.#sent,
      admitted_after_out: this.#admitted,
      running_at_out: this.#watched.length,
      running_completed: this.#watchedDone,
      stall_p99_ms: { before: stall("before"), out: stall("out"), back: stall("back") },
      refused: res.measures.refused,
      failed: res.measures.failed,
      cold_overloads: res.measures.cold_overloads,
    };
  }
}

/**
 * Runs the scenario.
 *
 * @example
 * ```ts
 * const report = runZone({ seed: 1, fault: "store_down" });
 * console.log(report.last_sent_s);
 * ```
 */
export function runZone(options: ZoneOptions): ZoneReport {
  return new ZoneRun(options).run();
}
