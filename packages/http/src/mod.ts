/**
 * HTTP servers whose callers observe no limits: how much is read from each connection, and which of them stay open.
 *
 * @module
 */
export * from "./body_room.ts";
export * from "./bounded_connections.ts";
export * from "./connection_accounts.ts";
export * from "./connection_table.ts";
export * from "./recent_text.ts";
export * from "./request_gate.ts";
export * from "./response_socket.ts";
export * from "./turn_queue.ts";
