/**
 * Delivery of responses: generation log, signed resume ids, OpenAI-compatible encoding, server-sent events and
 * problem documents.
 *
 * @module
 */
export * from "./generation_log.ts";
export * from "./openai_request.ts";
export * from "./openai_response.ts";
export * from "./problem.ts";
export * from "./resume_id.ts";
export * from "./sse.ts";
export * from "./token_cursor.ts";
