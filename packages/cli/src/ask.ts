/**
 * Sends one prompt to an entry and prints the tokens as they arrive.
 *
 * @module
 */
import { raise } from "@wisteriapick/core";
import { streamCompletion } from "./completion_stream.ts";

/** Asks the service `scribe`; tokens go to standard output. Fails where the answer does not end normally. */
export async function ask(url: string, key: string, prompt: string): Promise<void> {
  const body = { model: "scribe", stream: true, messages: [{ role: "user", content: prompt }] };
  const end = await streamCompletion(url, key, body, (text) => process.stdout.write(text));
  process.stdout.write("\n");
  if (end.error !== null) raise({ type: "engine", message: end.error, status: end.status });
}
