/**
 * Short calls to endpoints that do not serve callers' requests, such as orders and reports.
 *
 * @module
 */
import { ByteBuffer, type Clock } from "@wisteriapick/core";
import { afterPoll } from "./after_poll.ts";
import type { UpstreamRequest } from "./connection.ts";
import type { UpstreamEndpoint } from "./endpoint.ts";

/** The response to a control call, or the reason why there is none. */
export type ControlResult =
  | { readonly type: "response"; readonly status: number; readonly body: Buffer }
  | { readonly type: "failed"; readonly sent: boolean; readonly message: string };

/** Bytes of a response body after which the call fails. */
const MAX_RESPONSE_BYTES = 1_048_576;

/** Calls an endpoint and reads the complete response. Never rejects. */
export function controlCall(
  endpoint: UpstreamEndpoint,
  request: UpstreamRequest,
  { clock, timeoutMs, usesOwnConnection = false }: {
    readonly clock: Clock;
    readonly timeoutMs: number;
    /**
     * Whether nothing else is sent on the connection, before or afterwards. A response that names no request may be an
     * earlier one that comes once more.
     */
    readonly usesOwnConnection?: boolean;
  },
): Promise<ControlResult> {
  return new Promise((resolve) => {
    const received = new ByteBuffer();
    let status = 0;
    const stopTimer = clock.setTimer(timeoutMs, () => afterPoll(() => call.abort()));
    const finish = (result: ControlResult) => {
      stopTimer();
      resolve(result);
    };
    const call = endpoint.pool.send(request, {
      onHead: (s) => {
        status = s;
      },
      onData: (chunk) => {
        if (received.length + chunk.length > MAX_RESPONSE_BYTES) {
          finish({
            type: "failed",
            sent: true,
            message: `response over ${MAX_RESPONSE_BYTES} bytes`,
          });
          call.abort();
          return false;
        }
        received.append(chunk);
        return true;
      },
      onEnd: () => finish({ type: "response", status, body: received.bytes() }),
      onFailure: ({ sent, message }) => finish({ type: "failed", sent, message }),
    }, { usesOwnConnection });
  });
}
