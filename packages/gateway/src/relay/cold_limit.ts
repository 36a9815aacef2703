/**
 * The cold-start limit of endpoints, as the relay asks for it.
 *
 * @module
 */
import type { EndpointRow } from "../state/fleet.ts";
import type { RelayContext } from "./context.ts";

/** Whether the cold-start limit of an endpoint allows one more request. */
export function isWithinColdLimit(ctx: RelayContext, row: EndpointRow, nowMs: number): boolean {
  if (row.coldUntilMs <= nowMs) return true;
  const perSecond = ctx.fleet.routes?.service(row.record.service)?.coldPerSecond ?? 0;
  if (perSecond === 0) return true;
  return ctx.coldLimiter.allows(row.record.id, perSecond, ctx.sharingCount(), nowMs);
}
