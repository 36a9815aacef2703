/**
 * Sends one prompt to an entry and prints the response as it streams in.
 *
 * @module
 */
import { raise } from "@wisteriapick/core";
import { streamCompletion } from "./completion_stream.ts";

/**
 * Sends `prompt` to the service `scribe` and writes the text to standard output.
 *
 * @throws WpFailure of type `engine` when the request is refused or the stream ends with an error.
 */
export async function printCompletion(url: string, key: string, prompt: string): Promise<void> {
  const body = { model: "scribe", stream: true, messages: [{ role: "user", content: prompt }] };
  const end = await streamCompletion(url, key, body, (text) => process.stdout.write(text));
  process.stdout.write("\n");
  if (end.error !== null) raise({ type: "engine", message: end.error, status: end.status });
}
