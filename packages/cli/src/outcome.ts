/**
 * Exit codes, error output and signal handling of the commands.
 *
 * @module
 */
import { raise, toWpError } from "@wisteriapick/core";

/** The command succeeded. */
export const EXIT_OK = 0;
/** The command failed. */
export const EXIT_FAILED = 1;
/** Usage error or invalid settings; nothing was started. */
export const EXIT_USAGE = 2;

/** Raises a `settings` error for wrong use of the command line, on which the command exits with 2. */
export function raiseUsageError(message: string): never {
  raise({ type: "settings", message, file: "command line", issues: [] });
}

/** Runs a command, sets the exit code and prints an error to standard error. */
export async function runCommand(action: () => Promise<void | number>): Promise<void> {
  try {
    process.exitCode = (await action()) ?? EXIT_OK;
  } catch (e) {
    const err = toWpError(e);
    process.stderr.write(`${err.type}: ${err.message}\n`);
    process.exitCode = err.type === "settings" ? EXIT_USAGE : EXIT_FAILED;
  }
}

/**
 * Runs a long-lived command, such as an entry, and exits as soon as it returns: idle connections would otherwise
 * keep the process alive for seconds until they time out.
 */
export async function runProcess(action: () => Promise<void>): Promise<never> {
  await runCommand(action);
  return process.exit();
}

/**
 * Resolves on SIGTERM or SIGINT. A further SIGTERM has no effect, so that it does not cut what the process finishes; a
 * further SIGINT, as from a terminal, ends the process.
 */
export function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    // Signal handlers don't keep the event loop alive; a timer does.
    const keepAlive = setInterval(() => {}, 1 << 30);
    const onSignal = () => {
      clearInterval(keepAlive);
      process.off("SIGINT", onSignal);
      resolve();
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
  });
}
