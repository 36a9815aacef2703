/**
 * Event types of a run's history and the recorder that collects them: what callers, entries, sides, endpoints and
 * operators observed, in one total order.
 *
 * @module
 */
import type {
  AccountId,
  DataCentreId,
  EndpointId,
  GenerationId,
  MoveId,
  NotRun,
  ProcessId,
  RequestId,
  ServiceId,
  VersionId,
} from "@wisteriapick/core";

/** Time of an event, in milliseconds of the run's clock. */
interface Timed {
  readonly atMs: number;
}

/** An event of a history. */
export type HistoryEvent =
  & Timed
  & (
    // Callers.
    | {
      readonly type: "request_sent";
      readonly req: RequestId;
      readonly account: AccountId;
      readonly service: ServiceId;
      readonly prompt: string;
      readonly repeatable: boolean;
      readonly streamed: boolean;
    }
    | {
      readonly type: "token_received";
      readonly req: RequestId;
      readonly offset: number;
      readonly text: string;
    }
    | { readonly type: "answer_ended"; readonly req: RequestId; readonly finish: "stop" | "length" }
    | {
      readonly type: "answer_failed";
      readonly req: RequestId;
      readonly reason: string;
      readonly notRun: NotRun;
    }
    | { readonly type: "caller_left"; readonly req: RequestId }
    // Endpoints. `req` is the request id that the endpoint read from the prompt or the path.
    | {
      readonly type: "work_started";
      readonly endpoint: EndpointId;
      readonly dataCentre: DataCentreId;
      readonly service: ServiceId;
      readonly version: VersionId;
      readonly req: RequestId;
      readonly gen: GenerationId;
    }
    | {
      readonly type: "token_produced";
      readonly gen: GenerationId;
      readonly offset: number;
      readonly text: string;
    }
    | {
      readonly type: "work_ended";
      readonly endpoint: EndpointId;
      readonly gen: GenerationId;
      readonly tokens: number;
      readonly how: "done" | "cancelled" | "crashed" | "failed";
    }
    /** Concurrency of an endpoint, and the concurrency that it actually sustains at this moment. */
    | {
      readonly type: "endpoint_pressure";
      readonly endpoint: EndpointId;
      readonly cold: boolean;
      readonly running: number;
      readonly capacity: number;
    }
    | { readonly type: "endpoint_leaving"; readonly endpoint: EndpointId }
    | { readonly type: "endpoint_returned"; readonly endpoint: EndpointId }
    | {
      readonly type: "bad_answer";
      readonly version: VersionId;
      readonly service: ServiceId;
      readonly req: RequestId;
    }
    // Processes.
    | { readonly type: "process_started"; readonly process: ProcessId }
    | { readonly type: "process_stop_planned"; readonly process: ProcessId }
    | { readonly type: "process_killed"; readonly process: ProcessId }
    | { readonly type: "request_cut"; readonly process: ProcessId; readonly req: RequestId }
    /** `connected` is false while the run cuts the process off from all peers and from the store. */
    | {
      readonly type: "process_connected";
      readonly process: ProcessId;
      readonly connected: boolean;
    }
    | {
      readonly type: "revision_in_force";
      readonly process: ProcessId;
      readonly revision: number;
      readonly digest: string;
    }
    // Operators.
    | { readonly type: "change_accepted"; readonly revision: number; readonly digest: string }
    | { readonly type: "data_centre_out"; readonly dataCentre: DataCentreId }
    | { readonly type: "data_centre_in"; readonly dataCentre: DataCentreId }
    | {
      readonly type: "version_verdict";
      readonly service: ServiceId;
      readonly version: VersionId;
      readonly move: MoveId;
    }
  );

/** Collects the events of one run. */
export class Recorder {
  readonly events: HistoryEvent[] = [];

  /** Appends an event; the order of calls is the order of the history. */
  record(event: HistoryEvent): void {
    this.events.push(event);
  }
}
