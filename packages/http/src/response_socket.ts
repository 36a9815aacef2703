/**
 * Connections to servers whose responses are read slowly.
 *
 * `undici` raises an error outside any request when a response without length ends, or is reset, while its parser is
 * paused, which a slow reader causes. It takes a reset for the end of such a response, too. Both are avoided at the
 * socket: its end is announced only once the parser asks for more than has come, and a reset has a code of its own.
 *
 * @module
 */
import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Code of an error that stands for a reset connection. */
export const CONNECTION_RESET_CODE = "ERR_CONNECTION_RESET";

/**
 * Changes a socket so that a client of `undici` may pause the response on it. Call it before the client listens.
 *
 * @example
 * ```ts
 * const socket = connect({ host, port });
 * socket.once("connect", () => callback(null, guardResponses(socket)));
 * ```
 */
export function guardResponses<S extends Socket>(socket: S): S {
  const push = socket.push.bind(socket);
  let hasEnded = false;
  socket.push = (chunk, encoding) => {
    // libuv reports a reset after unread bytes as an ordinary end. Only in that case has the socket no peer.
    if (chunk === null && socket.remoteAddress === undefined) {
      socket.destroy(connectionReset());
      return false;
    }
    hasEnded ||= chunk === null;
    return push(chunk, encoding);
  };
  const read = socket.read.bind(socket);
  socket.read = (size?: number) => {
    if (!hasEnded) return read(size);
    // The socket itself reads nothing to announce its end, also to a parser that is paused.
    if (size === 0 && socket.bytesRead > 0) return null;
    // A read without a size that empties the buffer announces the end, though what it returns may pause the parser.
    return read(size ?? (socket.readableLength || undefined));
  };
  const destroy = socket._destroy.bind(socket);
  socket._destroy = (err, callback) =>
    destroy(err, (failure) => callback(failure ? withOwnCode(failure) : failure));
  return socket;
}

/**
 * A connector for `undici` whose sockets are guarded.
 *
 * @param options As those of `undici`, for example the time to open a connection in milliseconds.
 *
 * @example
 * ```ts
 * const pool = new Pool(origin, { connect: guardedConnector({ timeout: 1_000 }) });
 * ```
 */
export function guardedConnector(options: buildConnector.BuildOptions): buildConnector.connector {
  const connect = buildConnector(options);
  return (target, callback) =>
    connect(target, (...result) => {
      const [err, socket] = result;
      if (err === null) callback(null, guardResponses(socket));
      else callback(err, null);
    });
}

function withOwnCode(err: NodeJS.ErrnoException): Error {
  if (err.code !== "ECONNRESET") return err;
  return connectionReset(err);
}

function connectionReset(cause?: NodeJS.ErrnoException): Error {
  const { message = "the connection was reset", syscall = "read" } = cause ?? {};
  return Object.assign(new Error(message, { cause }), { code: CONNECTION_RESET_CODE, syscall });
}
