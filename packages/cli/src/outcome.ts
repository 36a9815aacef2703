/**
 * Exit codes and signals of the commands.
 *
 * @module
 */
import { raise, toWpError } from "@wisteriapick/core";

/** The command did what it was asked for. */
export const EXIT_OK = 0;
/** The command failed. */
export const EXIT_FAILED = 1;
/** Wrong use or wrong settings; nothing was started. */
export const EXIT_USAGE = 2;

/** Reports wrong use of the command line; the command exits with 2. */
export function usage(message: string): never {
  raise({ type: "settings", message, file: "command line", issues: [] });
}

/** Runs a command's work and sets the exit code. Errors go to standard error. */
export async function runCommand(work: () => Promise<void | number>): Promise<void> {
  try {
    process.exitCode = (await work()) ?? EXIT_OK;
  } catch (e) {
    const err = toWpError(e);
    process.stderr.write(`${err.type}: ${err.message}\n`);
    process.exitCode = err.type === "settings" ? EXIT_USAGE : EXIT_FAILED;
  }
}

/**
 * Runs a process that ends by a signal. It exits as soon as its work is done, because connections that time out by
 * themselves would keep it for seconds.
 */
export async function runProcess(work: () => Promise<void>): Promise<never> {
  await runCommand(work);
  return process.exit();
}

/** Resolves on SIGTERM or SIGINT. */
export function untilSignal(): Promise<void> {
  return new Promise((resolve) => {
    // The signal handlers alone do not keep the process alive.
    const hold = setInterval(() => {}, 1 << 30);
    const stop = () => {
      clearInterval(hold);
      process.off("SIGTERM", stop);
      process.off("SIGINT", stop);
      resolve();
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
  });
}
