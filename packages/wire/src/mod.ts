/**
 * Authenticated links that carry typed messages between the processes of the system.
 *
 * @module
 */
export * from "./address.ts";
export * from "./messages.ts";
export * from "./link.ts";
export * from "./connect.ts";
export * from "./pending_connections.ts";
export * from "./pool.ts";
export { decodeMessage, encodeBody, kindNumber } from "./message_codec.ts";
export { MAX_FRAME_BYTES } from "./frame.ts";
export { encodeMessage, STREAM_WINDOW_BYTES } from "./stream.ts";
export {
  HEARTBEAT_MS,
  HEARTBEAT_TIMEOUT_MS,
  MAX_QUEUED_BYTES,
  type SocketLink,
} from "./socket_link.ts";
