/** Runs a case and ends with its verdict. */
import { System } from "./system.mjs";

/** Whether the case is to be played with its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

const LIMIT_MS = 110_000;

/**
 * Runs `play`, which returns whether the rule was broken, on a new system, and writes `record.txt` beside the case.
 * Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
 */
export async function judge(caseUrl, play) {
  const system = new System();
  let code = 2;
  const limit = new Promise((_, reject) => {
    setTimeout(() => reject(new Error("the case took too long")), LIMIT_MS).unref();
  });
  try {
    system.note(`disruption: ${hasTrouble ? "on" : "off"}`);
    const isBroken = await Promise.race([play(system), limit]);
    system.note(isBroken ? "the rule was broken" : "the rule held");
    code = isBroken ? 1 : 0;
  } catch (err) {
    system.note(`the case could not run: ${err.stack}`);
  }
  await system.stop();
  system.writeRecord(new URL("record.txt", caseUrl));
  process.exit(code);
}
