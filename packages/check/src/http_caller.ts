/**
 * Sends HTTP requests over a caller's in-memory connection.
 *
 * @module
 */
import { type IncomingMessage, request } from "node:http";
import type { Duplex } from "node:stream";

/** One HTTP request. */
export interface HttpCall {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Receives a response as it arrives. */
export interface HttpResponseHandler {
  onHead?(status: number, contentType: string): void;
  onText(text: string): void;
}

/** How a request ended: with a complete response, or with a broken connection. */
export type HttpEnd = { readonly type: "complete"; readonly status: number } | {
  readonly type: "broken";
  /** Whether the head of the response had arrived. */
  readonly hasResponseHead: boolean;
};

/** Sends one request and resolves when its response has ended or its connection has broken. */
export function sendHttp(
  connection: Duplex,
  call: HttpCall,
  handler: HttpResponseHandler,
): Promise<HttpEnd> {
  return new Promise((resolve) => {
    let hasResponseHead = false;
    const broken = () => resolve({ type: "broken", hasResponseHead: hasResponseHead });
    const req = request({
      method: call.method,
      path: call.path,
      headers: { ...call.headers, host: "entry", connection: "close" },
      createConnection: () => connection as never,
    }, (res: IncomingMessage) => {
      hasResponseHead = true;
      const status = res.statusCode!;
      handler.onHead?.(status, res.headers["content-type"] ?? "");
      res.setEncoding("utf8");
      res.on("data", (text: string) => handler.onText(text));
      res.once("end", () => resolve({ type: "complete", status }));
      res.once("error", broken);
      res.once("close", broken);
    });
    req.once("error", broken);
    connection.once("close", broken);
    req.end(call.body);
  });
}
