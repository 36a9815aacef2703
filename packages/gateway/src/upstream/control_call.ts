/**
 * Short calls to endpoints that are not requests of callers: orders and reports.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";
import type { UpstreamRequest } from "./connection.ts";
import type { UpstreamEndpoint } from "./endpoint.ts";

/** The answer to a control call, or why there is none. */
export type ControlResult =
  | { readonly type: "answer"; readonly status: number; readonly body: Buffer }
  | { readonly type: "failed"; readonly sent: boolean; readonly message: string };

/** Largest answer that is read. */
const MAX_ANSWER_BYTES = 1_048_576;

/** Calls an endpoint and reads the whole answer. Never rejects. */
export function controlCall(
  endpoint: UpstreamEndpoint,
  request: UpstreamRequest,
  { clock, timeoutMs }: { readonly clock: Clock; readonly timeoutMs: number },
): Promise<ControlResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let status = 0;
    const stopTimer = clock.setTimer(timeoutMs, () => call.abort());
    const finish = (result: ControlResult) => {
      stopTimer();
      resolve(result);
    };
    const call = endpoint.pool.send(request, {
      onHead: (s) => {
        status = s;
      },
      onData: (chunk) => {
        size += chunk.length;
        if (size <= MAX_ANSWER_BYTES) chunks.push(chunk);
        return true;
      },
      onEnd: () => finish({ type: "answer", status, body: Buffer.concat(chunks) }),
      onFailure: ({ sent, message }) => finish({ type: "failed", sent, message }),
    });
  });
}
