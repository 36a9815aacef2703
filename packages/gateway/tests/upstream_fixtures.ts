/** Servers that answer byte by byte, and a sink that records what a connection reports. */
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { Address } from "@wisteriapick/wire";
import type { UpstreamFailure, UpstreamRequest, UpstreamSink } from "../src/upstream/connection.ts";

/** A server that hands each request's bytes to `answer`. */
export async function startRawServer(
  answer: (socket: Socket, request: string) => void,
): Promise<{ address: Address; connections: () => number; close: () => Promise<void> }> {
  const sockets = new Set<Socket>();
  let connections = 0;
  const server = createServer((socket) => {
    connections++;
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => {});
    socket.on("data", (chunk) => answer(socket, chunk.toString("latin1")));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: { host: "127.0.0.1", port },
    connections: () => connections,
    close: () =>
      new Promise((resolve) => {
        for (const socket of sockets) socket.destroy();
        server.close(() => resolve());
      }),
  };
}

/** What a call reported. */
export interface RecordedAnswer {
  status: number | null;
  body: string;
  ended: boolean;
  failure: UpstreamFailure | null;
}

/** A sink and the promise of what it heard. */
export function makeSink(): { sink: UpstreamSink; over: Promise<RecordedAnswer> } {
  const answer: RecordedAnswer = { status: null, body: "", ended: false, failure: null };
  let resolve: (a: RecordedAnswer) => void = () => {};
  const over = new Promise<RecordedAnswer>((r) => {
    resolve = r;
  });
  const sink: UpstreamSink = {
    onHead: (status) => {
      answer.status = status;
    },
    onData: (chunk) => {
      answer.body += chunk.toString("latin1");
      return true;
    },
    onEnd: () => {
      answer.ended = true;
      resolve(answer);
    },
    onFailure: (failure) => {
      answer.failure = failure;
      resolve(answer);
    },
  };
  return { sink, over };
}

export function makeGet(target = "/orders/7"): UpstreamRequest {
  return { method: "GET", target, headers: ["Host", "shop.example"], body: null };
}
