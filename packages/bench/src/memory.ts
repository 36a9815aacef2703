/**
 * Memory of the calling thread.
 *
 * @module
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

/** Bytes of this thread's heap and of the buffers it holds, after a full garbage collection. */
export function liveBytes(): number {
  collect();
  collect();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
