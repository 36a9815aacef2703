/**
 * The history of a run: what callers, entries, sides, endpoints and operators observed, in one order.
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

/** Which attempt of a caller's request an event belongs to. Times are milliseconds of the run's clock. */
interface At {
  readonly atMs: number;
}

/** Everything a recorder may write. */
export type HistoryEvent =
  & At
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
    // Endpoints. `req` is what the endpoint was told, carried in the prompt or the body.
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
    /** Concurrency and what the endpoint truly bears at this moment. */
    | {
      readonly type: "endpoint_pressure";
      readonly endpoint: EndpointId;
      readonly cold: boolean;
      readonly running: number;
      readonly bears: number;
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
    /** `connected` is false while the run keeps the process from every peer and from the store. */
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

  /** Adds an event; events are kept in the order of the calls. */
  record(event: HistoryEvent): void {
    this.events.push(event);
  }
}
