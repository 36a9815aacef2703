/**
 * Asks every process which revision it has in force, for `status`.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";
import { type LinkPool, parseAddress } from "@wisteriapick/wire";
import type { ConfigState } from "./config_state.ts";
import type { ProcessStatus } from "./fleet_report.ts";
import type { PropagationMember } from "./tree.ts";

/** Processes asked at the same time. */
const CONCURRENT = 32;
const TIMEOUT_MS = 2_000;

/** Asks `members` by a one-answer `config_pull` each. A process that does not answer has revision `null`. */
export async function surveyRevisions(
  members: readonly PropagationMember[],
  { pool, state, clock }: { pool: LinkPool; state: ConfigState; clock: Clock },
): Promise<ProcessStatus[]> {
  const rest = [...members];
  const found: ProcessStatus[] = [];
  const worker = async () => {
    for (let m = rest.pop(); m !== undefined; m = rest.pop()) {
      found.push(await askOne(m, pool, state, clock));
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT }, worker));
  return found.sort((a, b) => a.process < b.process ? -1 : 1);
}

async function askOne(
  member: PropagationMember,
  pool: LinkPool,
  state: ConfigState,
  clock: Clock,
): Promise<ProcessStatus> {
  const silent = {
    process: member.key,
    dataCentre: member.dataCentre,
    revision: null,
    asOfMs: null,
  };
  const address = parseAddress(member.address);
  const release = pool.keep(address);
  try {
    const link = await pool.ready(address, { timeoutMs: TIMEOUT_MS });
    return await new Promise<ProcessStatus>((resolve) => {
      const finish = (status: ProcessStatus) => {
        undo();
        // Before the abort, which calls `onClose` and so this function again.
        resolve(status);
        stream.abort();
      };
      const undo = clock.setTimer(TIMEOUT_MS, () => finish(silent));
      const stream = link.openStream({ kind: "config_pull", from: state.current().revision }, {
        onMessage: (msg) => {
          if (msg.kind !== "config_push") return;
          finish({ ...silent, revision: msg.revision, asOfMs: msg.asOfMs });
        },
        onClose: () => finish(silent),
      });
    });
  } catch {
    return silent;
  } finally {
    release();
  }
}
