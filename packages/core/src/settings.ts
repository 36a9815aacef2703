/**
 * Loading and validation of YAML settings.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { parse } from "yaml";
import { z } from "zod";
import { raise, type SettingsIssue } from "./errors.ts";

/**
 * Validates a parsed value against a schema. An invalid value raises a `settings` error that names the file, each
 * invalid key path and what is expected there.
 */
export function checkSettings<T>(value: unknown, schema: z.ZodType<T>, file: string): T {
  const res = schema.safeParse(value);
  if (res.success) return res.data;
  const issues: SettingsIssue[] = res.error.issues.map((issue) => ({
    path: issue.path.join("."),
    expected: issue.message,
  }));
  const lines = issues.map((i) => `${i.path || "(top level)"}: ${i.expected}`);
  raise({ type: "settings", message: `${file}: ${lines.join("; ")}`, file, issues });
}

/**
 * Reads and validates a YAML file.
 *
 * @example
 * ```ts
 * const cfg = loadSettings("entry.yaml", z.object({ listen: z.string() }));
 * ```
 */
export function loadSettings<T>(file: string, schema: z.ZodType<T>): T {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (e) {
    const expected = `a readable file (${(e as NodeJS.ErrnoException).code})`;
    raise({
      type: "settings",
      message: `${file}: expected ${expected}`,
      file,
      issues: [{ path: "", expected }],
    });
  }
  return parseSettings(text, schema, file);
}

/** Parses and validates YAML text; `file` is used in errors only. */
export function parseSettings<T>(text: string, schema: z.ZodType<T>, file: string): T {
  let value: unknown;
  try {
    checkDocumentEnd(text);
    value = parse(text);
  } catch (e) {
    const expected = `valid YAML: ${(e as Error).message.split("\n")[0]}`;
    raise({
      type: "settings",
      message: `${file}: expected ${expected}`,
      file,
      issues: [{ path: "", expected }],
    });
  }
  return checkSettings(value, schema, file);
}

/**
 * Throws where a document that begins with `---` does not end with `...`. The beginning of a file that is being written
 * may be valid YAML, which would pass for settings that leave out what follows.
 */
function checkDocumentEnd(text: string): void {
  if (/^---$/m.test(text) && !/^\.\.\.$/m.test(text)) {
    throw new Error("document without its end (...)");
  }
}

/**
 * Creates the schema of a branded id; an invalid id is reported with what was `expected`.
 *
 * @example
 * ```ts
 * const schema = z.object({ host: idField(hostId, "a host id") });
 * ```
 */
export function idField<T extends string>(check: (s: string) => T, expected: string) {
  return z.string().transform((s, ctx): T => {
    try {
      return check(s);
    } catch {
      ctx.addIssue({ code: "custom", message: `expected ${expected}` });
      return z.NEVER;
    }
  });
}
