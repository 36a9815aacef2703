import type { RelayContext } from "./context.ts";

/** Largest fraction of a measured time for which this process may have been delayed. */
const MAX_DELAYED_FRACTION = 0.25;

/** Whether a time that ends now and was measured here says more of this process than of the endpoint. */
export function isDisturbed(
  { longestDelayMs }: Pick<RelayContext, "longestDelayMs">,
  ms: number,
): boolean {
  return longestDelayMs(ms) > MAX_DELAYED_FRACTION * ms;
}
