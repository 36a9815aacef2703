/**
 * Queries the revision in force at every process, for `status`.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";
import { type LinkPool, parseAddress } from "@wisteriapick/wire";
import type { ConfigState } from "./config_state.ts";
import type { ProcessStatus } from "./fleet_report.ts";
import type { PropagationMember } from "./tree.ts";

/** Processes queried at the same time. */
const MAX_CONCURRENT_QUERIES = 32;
const TIMEOUT_MS = 2_000;

/**
 * Queries each member by a `config_pull` that ends after the first push. A process that does not respond has
 * revision `null`.
 */
export async function surveyRevisions(
  members: readonly PropagationMember[],
  { pool, state, clock }: { pool: LinkPool; state: ConfigState; clock: Clock },
): Promise<ProcessStatus[]> {
  const remaining = [...members];
  const found: ProcessStatus[] = [];
  const worker = async () => {
    for (let m = remaining.pop(); m !== undefined; m = remaining.pop()) {
      found.push(await queryOne(m, pool, state, clock));
    }
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT_QUERIES }, worker));
  return found.sort((a, b) => a.process < b.process ? -1 : 1);
}

async function queryOne(
  member: PropagationMember,
  pool: LinkPool,
  state: ConfigState,
  clock: Clock,
): Promise<ProcessStatus> {
  const noResponse = {
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
        // Resolves before the abort, which calls `onClose` and so this function again.
        resolve(status);
        stream.abort();
      };
      const undo = clock.setTimer(TIMEOUT_MS, () => finish(noResponse));
      const stream = link.openStream({ kind: "config_pull", from: state.current().revision }, {
        onMessage: (msg) => {
          if (msg.kind !== "config_push") return;
          finish({ ...noResponse, revision: msg.revision, asOfMs: msg.asOfMs });
        },
        onClose: () => finish(noResponse),
      });
    });
  } catch {
    return noResponse;
  } finally {
    release();
  }
}
