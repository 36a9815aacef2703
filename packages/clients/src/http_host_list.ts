/**
 * HTTP client of the host list: `GET /v1/hosts` returns a {@link HostSnapshot} as JSON.
 *
 * @module
 */
import { dataCentreId, endpointId, hostId, raise, regionId, serviceId } from "@wisteriapick/core";
import { z } from "zod";
import { HttpCaller, type HttpClientOptions, parseJson } from "./http_caller.ts";
import { HostList, type HostRecord, type HostSnapshot } from "./host_list.ts";

const RecordSchema = z.object({
  host: z.string(),
  dataCentre: z.string(),
  region: z.string(),
  state: z.enum(["live", "leaving"]),
  entry: z.string().optional(),
  side: z.string().optional(),
  endpoint: z.object({ id: z.string(), service: z.string(), address: z.string() }).optional(),
});
const SnapshotSchema = z.object({ index: z.number(), hosts: z.array(RecordSchema) });

/** The record as a list, which is empty if an id in it is invalid: one host must not hide the others. */
function toRecords(r: z.output<typeof RecordSchema>): HostRecord[] {
  try {
    return [toRecord(r)];
  } catch {
    return [];
  }
}

function toRecord(r: z.output<typeof RecordSchema>): HostRecord {
  return {
    host: hostId(r.host),
    dataCentre: dataCentreId(r.dataCentre),
    region: regionId(r.region),
    state: r.state,
    entry: r.entry,
    side: r.side,
    endpoint: r.endpoint && {
      id: endpointId(r.endpoint.id),
      service: serviceId(r.endpoint.service),
      address: r.endpoint.address,
    },
  };
}

/** HTTP client of the host list. */
export class HttpHostList extends HostList {
  readonly #caller: HttpCaller;

  constructor(origin: string, options: HttpClientOptions = {}) {
    super();
    this.#caller = new HttpCaller(origin, options);
  }

  async read(): Promise<HostSnapshot> {
    const res = await this.#caller.call({ method: "GET", path: "/v1/hosts" });
    if (res.status !== 200) {
      raise({ type: "unreachable", message: `host list responded with status ${res.status}` });
    }
    const parsed = SnapshotSchema.safeParse(parseJson(res.body, res.status));
    if (!parsed.success) {
      raise({ type: "unreachable", message: "host list responded in an unknown format" });
    }
    return { index: parsed.data.index, hosts: parsed.data.hosts.flatMap(toRecords) };
  }

  /** Closes all connections immediately. */
  async close(): Promise<void> {
    await this.#caller.close();
  }
}
