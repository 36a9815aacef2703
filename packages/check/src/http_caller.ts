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

/** Receives an answer as it arrives. */
export interface HttpHandler {
  onHead?(status: number, contentType: string): void;
  onText(text: string): void;
}

/** How a request ended: its status with a whole body, or a broken connection. */
export type HttpEnd = { readonly type: "whole"; readonly status: number } | {
  readonly type: "broken";
  /** Whether the head of an answer had arrived. */
  readonly answered: boolean;
};

/** Sends one request and resolves when its answer has ended or its connection has broken. */
export function sendHttp(
  connection: Duplex,
  call: HttpCall,
  handler: HttpHandler,
): Promise<HttpEnd> {
  return new Promise((resolve) => {
    let answered = false;
    const broken = () => resolve({ type: "broken", answered });
    const req = request({
      method: call.method,
      path: call.path,
      headers: { ...call.headers, host: "entry", connection: "close" },
      createConnection: () => connection as never,
    }, (res: IncomingMessage) => {
      answered = true;
      const status = res.statusCode!;
      handler.onHead?.(status, res.headers["content-type"] ?? "");
      res.setEncoding("utf8");
      res.on("data", (text: string) => handler.onText(text));
      res.once("end", () => resolve({ type: "whole", status }));
      res.once("error", broken);
      res.once("close", broken);
    });
    req.once("error", broken);
    connection.once("close", broken);
    req.end(call.body);
  });
}
