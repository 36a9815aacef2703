/**
 * Scenario `zone`: a data centre is taken out under load and returns later.
 *
 * Entries and sides run the placement, admission and propagation code of the product; engines are simulated.
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
import { SimPropagation } from "./sim_propagation.ts";
import type { EndpointSpec, Job, Setup, WorkKind } from "./types.ts";
import { arrivalRate, drawJobs } from "./request_mix.ts";

const DATA_CENTRES = ["accra-osu", "accra-tema", "accra-legon"].map(dataCentreId);
const LEAVING_DATA_CENTRE = dataCentreId("accra-tema");
const SCRIBE = serviceId("scribe");
const ENDPOINT_COUNT = 10;
const CROSS_DATA_CENTRE_DELAY_MS = 0.5;

/** Faults of a run. */
export type ZoneFault =
  | "none"
  /** The store goes down for a minute when the state `out` is accepted. */
  | "store_down"
  /** The open control connections of an entry in another data centre go silent at the acceptance. */
  | "silent_entry"
  /**
   * The control connections of all processes in the leaving data centre go silent, and their calls to the
   * store get no response.
   */
  | "silent_centre";

/** Options of {@link runZone}. Times are milliseconds from the start. */
export interface ZoneOptions {
  readonly seed: number;
  readonly load?: number;
  readonly fault?: ZoneFault;
  /** Whether requests and responses carry the configuration revision. */
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
  /** Seconds from the acceptance of `out` to the last request that an entry sent to the data centre; 0 if none. */
  readonly last_sent_s: number;
  /** Seconds from the acceptance of `out` to the last request that a side there admitted; 0 if none. */
  readonly last_admitted_s: number;
  readonly sent_after_out: number;
  readonly admitted_after_out: number;
  /** Requests in progress in the data centre at the acceptance, and the number of them that completed. */
  readonly running_at_out: number;
  readonly running_completed: number;
  readonly stall_p99_ms: { readonly before: number; readonly out: number; readonly back: number };
  readonly refused: number;
  readonly failed: number;
  readonly cold_overloads: number;
}

/** A side that refuses new requests while its data centre is out. */
class ZoneSide extends SimSide {
  admits: (req: AdmissionRequest) => boolean = () => true;

  override offer(job: Job, req: AdmissionRequest, client: SideClient): void {
    if (this.admits(req)) super.offer(job, req, client);
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
  readonly #propagation: SimPropagation;
  readonly #sides = new Map<EndpointId, ZoneSide>();
  readonly #entries: SimEntry[];
  #lastSentMs = 0;
  #lastAdmittedMs = 0;
  #sent = 0;
  #admitted = 0;
  readonly #runningInDataCentre = new Set<number>();
  #runningAtOut: number[] = [];
  #completedOfRunning = 0;

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
    this.#setup = this.#buildSetup();
    this.#recorder = new Recorder(this.#o.arrivalMs);
    const rng = new Rng(this.#o.seed);
    this.#propagation = new SimPropagation({
      clock: this.#clock,
      rng: rng.fork("spread"),
      members: this.#members(),
    });
    this.#entries = DATA_CENTRES.map((dc, i) => this.#createEntry(dc, i, rng));
    this.#fleet = new Fleet(this.#clock, this.#setup, rng.fork("engines"), {
      onJoin: (spec) => this.#join(spec),
      onStep: (endpoint, step) => this.#sides.get(endpoint)!.step(step),
      onFinish: (endpoint, gen, finish) => this.#sides.get(endpoint)!.finish(gen, finish),
      onCrash: (endpoint) => this.#sides.get(endpoint)?.crashed(),
      onRestart: () => {},
      onDisturbance: () => {},
    });
  }

  run(): ZoneReport {
    const { arrivalMs, outAtMs, backAtMs } = this.#o;
    this.#propagation.accept(this.#initialChanges(), "entry-0");
    for (const job of this.#setup.jobs) {
      this.#clock.setTimer(job.atMs, () => this.#recorder.arrive(job));
      this.#clock.setTimer(job.atMs + CLIENT_DELAY_MS, () => this.#entries[job.entry]!.accept(job));
    }
    this.#clock.setTimer(outAtMs, () => this.#takeDataCentreOut());
    this.#clock.setTimer(backAtMs, () => this.#setState("returning"));
    this.#clock.setRepeating(500, () => this.#report());
    this.#clock.advance(arrivalMs + 60_000);
    return this.#result();
  }

  #buildSetup(): Setup {
    const { seed, load, arrivalMs } = this.#o;
    const endpoints: EndpointSpec[] = Array.from({ length: ENDPOINT_COUNT }, (_, i) => ({
      endpoint: endpointId(`scribe-${i}`),
      service: SCRIBE,
      dataCentre: DATA_CENTRES[i % DATA_CENTRES.length]!,
      engine: {},
    }));
    const rate = arrivalRate(endpoints, [DRAFTS], load);
    const rng = new Rng(seed).fork("zone");
    const rates = new Map([[SCRIBE, rate]]);
    const drawn = drawJobs({
      kinds: [DRAFTS],
      rates,
      arrivalMs,
      entries: DATA_CENTRES.length,
      rng,
    });
    const jobs = drawn.map((job) => ({ ...job, kind: this.#phase(job.atMs) }));
    return {
      scenario: "zone",
      seed,
      load,
      entries: DATA_CENTRES.length,
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

  /**
   * Phase of the run in which a request arrives. The first minute is a phase of its own, left out of the reported
   * stalls, as the allowances of the engines are still being learned.
   */
  #phase(atMs: number): string {
    if (atMs < 60_000) return "start";
    if (atMs < this.#o.outAtMs) return "before";
    return atMs < this.#o.backAtMs ? "out" : "back";
  }

  #members(): PropagationMember[] {
    const entries = DATA_CENTRES.map((dataCentre, i) => ({
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

  #initialChanges(): Change[] {
    const centres = DATA_CENTRES.map((id) => ({
      type: "put_data_centre",
      dataCentre: { id, region: "accra" },
    }));
    return centres.map((c) => ChangeSchema.parse(c));
  }

  #createEntry(dataCentre: DataCentreId, i: number, rng: Rng): SimEntry {
    return new SimEntry({
      clock: this.#clock,
      name: `entry-${i}`,
      rng: rng.fork(`entry-${i}`),
      recorder: this.#recorder,
      onSuspect: () => {},
      options: {
        placement: { dataCentre },
        ineligibleEndpoints: (job) => this.#ineligibleEndpoints(`entry-${i}`, job),
      },
    });
  }

  #ineligibleEndpoints(entry: string, job: Job): ReadonlySet<EndpointId> {
    const view = this.#propagation.nodes.get(entry)!.state.current();
    const centres = excludedDataCentres(view, `r${job.index}`, this.#clock.wall());
    const specs = this.#setup.endpoints.filter((e) => centres.has(e.dataCentre));
    return new Set(specs.map((e) => e.endpoint));
  }

  #join(spec: EndpointSpec): void {
    const side = new ZoneSide(this.#clock, this.#fleet, spec, {});
    this.#sides.set(spec.endpoint, side);
    side.admits = (req) => this.#admits(spec, req);
    DATA_CENTRES.forEach((dc, i) => {
      const extraDelayMs = spec.dataCentre === dc ? 0 : CROSS_DATA_CENTRE_DELAY_MS;
      this.#entries[i]!.addSide(side, new SimLink(this.#clock, LINK_DELAY_MS + extraDelayMs));
    });
    // A request is in progress at a side from its admission to its end.
    const offer = side.offer.bind(side);
    side.offer = (job, req, client) => offer(job, req, this.#observe(spec, job, client));
  }

  #observe(spec: EndpointSpec, job: Job, client: SideClient): SideClient {
    if (spec.dataCentre !== LEAVING_DATA_CENTRE) return client;
    return {
      ...client,
      admitted: (load) => {
        this.#runningInDataCentre.add(job.index);
        if (this.#isOut()) {
          this.#admitted++;
          this.#lastAdmittedMs = this.#clock.now();
        }
        client.admitted(load);
      },
      notRun: (reason, retryAfterMs, load) => {
        this.#runningInDataCentre.delete(job.index);
        client.notRun(reason, retryAfterMs, load);
      },
      token: (offset) => client.token(offset),
      ended: (load) => {
        this.#runningInDataCentre.delete(job.index);
        if (this.#runningAtOut.includes(job.index)) this.#completedOfRunning++;
        client.ended(load);
      },
      failed: (load) => {
        this.#runningInDataCentre.delete(job.index);
        client.failed(load);
      },
    };
  }

  #isOut(): boolean {
    const now = this.#clock.now();
    return now > this.#o.outAtMs && now < this.#o.backAtMs;
  }

  /**
   * Returns whether the side may take a request by its configuration. With revisions on requests, the side and
   * the entry also receive each other's revision.
   */
  #admits(spec: EndpointSpec, req: AdmissionRequest): boolean {
    const entry = req.gen.slice(0, req.gen.lastIndexOf("."));
    if (spec.dataCentre === LEAVING_DATA_CENTRE && this.#isOut()) {
      this.#sent++;
      this.#lastSentMs = this.#clock.now() - LINK_DELAY_MS;
    }
    if (this.#o.revisionOnRequests) {
      this.#propagation.recordPeerRevision(spec.endpoint, entry);
      this.#clock.setTimer(
        LINK_DELAY_MS,
        () => this.#propagation.recordPeerRevision(entry, spec.endpoint),
      );
    }
    const dc = this.#propagation.nodes.get(spec.endpoint)!.state.current().dataCentres.get(
      spec.dataCentre,
    );
    return dc === undefined || admittedShare(dc, this.#clock.wall()) > 0;
  }

  #takeDataCentreOut(): void {
    const { fault } = this.#o;
    this.#runningAtOut = [...this.#runningInDataCentre];
    const faultMs = 60_000;
    const localEndpoints = this.#setup.endpoints.filter((e) =>
      e.dataCentre === LEAVING_DATA_CENTRE
    );
    const processKeys = new Set<string>(["entry-1", ...localEndpoints.map((e) => e.endpoint)]);
    if (fault === "silent_entry") this.#propagation.silence(new Set(["entry-2"]), faultMs);
    if (fault === "silent_centre") this.#propagation.silence(processKeys, faultMs);
    if (fault === "store_down") {
      this.#propagation.storeUp = false;
      this.#clock.setTimer(faultMs, () => this.#propagation.storeUp = true);
    }
    this.#setState("out");
  }

  #setState(state: "out" | "returning"): void {
    const atMs = this.#clock.wall();
    this.#propagation.accept([{
      type: "set_data_centre_state",
      id: LEAVING_DATA_CENTRE,
      state,
      atMs,
    }], "entry-0");
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
      running_at_out: this.#runningAtOut.length,
      running_completed: this.#completedOfRunning,
      stall_p99_ms: { before: stall("before"), out: stall("out"), back: stall("back") },
      refused: res.measures.refused,
      failed: res.measures.failed,
      cold_overloads: res.measures.cold_overloads,
    };
  }
}

/**
 * Runs the scenario once, with one fault.
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
