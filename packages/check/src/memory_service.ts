/**
 * An in-memory plain service behind `undici`'s dispatcher interface. It records the work that it runs in the history.
 *
 * @module
 */
import { Readable } from "node:stream";
import {
  type Clock,
  type DataCentreId,
  type EndpointId,
  generationId,
  type RequestId,
  requestId,
  type Rng,
  type ServiceId,
  type VersionId,
} from "@wisteriapick/core";
import { Dispatcher } from "undici";
import type { Recorder } from "./history.ts";

/** Options of {@link MemoryService}. */
export interface MemoryServiceOptions {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly recorder: Recorder;
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly service: ServiceId;
  readonly version: VersionId;
}

const MIN_SERVICE_TIME_MS = 10;
const SERVICE_TIME_RANGE_MS = 150;

function socketError(code: string): Error {
  return Object.assign(new Error(code), { code });
}

/** Body of the service's response to a request. */
export function serviceResponseBody(req: RequestId): string {
  return `done:${req}`;
}

/** Dispatcher that serves `/orders/<request id>` and `/healthz`. */
export class MemoryService extends Dispatcher {
  isUp = true;
  readonly #o: MemoryServiceOptions;
  readonly #running = new Set<(e: Error) => void>();
  #runs = 0;

  constructor(options: MemoryServiceOptions) {
    super();
    this.#o = options;
  }

  /** Fails all running calls and refuses new ones until `start`. */
  crash(): void {
    this.isUp = false;
    for (const fail of this.#running) fail(socketError("UND_ERR_SOCKET"));
    this.#running.clear();
  }

  start(): void {
    this.isUp = true;
  }

  override request(options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
    return this.#respond(options);
  }

  override close(): Promise<void>;
  override close(callback: () => void): void;
  override close(callback?: () => void): Promise<void> | void {
    if (callback === undefined) return Promise.resolve();
    callback();
  }

  override destroy(): Promise<void>;
  override destroy(err: Error | null): Promise<void>;
  override destroy(callback: () => void): void;
  override destroy(err: Error | null, callback: () => void): void;
  override destroy(): Promise<void> {
    return Promise.resolve();
  }

  async #respond(options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
    if (!this.isUp) throw socketError("ECONNREFUSED");
    if (options.path === "/healthz") return makeResponse("ok");
    if (options.body instanceof Readable) {
      for await (const _chunk of options.body) { /* reads the body to its end */ }
    }
    if (!this.isUp) throw socketError("UND_ERR_SOCKET");
    return await this.#run(requestId(options.path.split("/").at(-1)!));
  }

  async #run(req: RequestId): Promise<Dispatcher.ResponseData> {
    const { clock, rng, recorder, endpoint, dataCentre, service, version } = this.#o;
    const gen = generationId(`${endpoint}-run-${++this.#runs}`);
    const at = { atMs: clock.now() };
    recorder.record({
      ...at,
      type: "work_started",
      endpoint,
      dataCentre,
      service,
      version,
      req,
      gen,
    });
    recorder.record({
      ...at,
      type: "token_produced",
      gen,
      offset: 0,
      text: serviceResponseBody(req),
    });
    recorder.record({ ...at, type: "work_ended", endpoint, gen, tokens: 1, how: "done" });
    await new Promise<void>((resolve, reject) => {
      this.#running.add(reject);
      const ms = MIN_SERVICE_TIME_MS + rng.int(SERVICE_TIME_RANGE_MS);
      clock.setTimer(ms, () => {
        this.#running.delete(reject);
        resolve();
      });
    });
    return makeResponse(serviceResponseBody(req));
  }
}

function makeResponse(text: string): Dispatcher.ResponseData {
  const body = Readable.from([Buffer.from(text)]);
  const dump = () => Promise.resolve();
  return {
    statusCode: 200,
    headers: ["content-type", "text/plain"] as unknown as Record<string, string>,
    body: Object.assign(body, { dump }) as unknown as Dispatcher.ResponseData["body"],
    trailers: {},
    opaque: null,
    context: {},
    statusText: "OK",
  } as Dispatcher.ResponseData;
}
