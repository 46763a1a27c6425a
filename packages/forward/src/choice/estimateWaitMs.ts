/**
 * The wait for a slot in the nearest region.
 */
import type RegionVerdict from './RegionVerdict.js';

/**
 * Milliseconds until a slot of the region is expected to be free for a request with `waiting` others ahead of it;
 * zero where a target is usable now, infinite where no slot there could become free or `latencyMs` is unknown (zero).
 */
export default function estimateWaitMs(
  region: RegionVerdict | undefined,
  waiting: number,
  latencyMs: number,
): number {
  if (region === undefined) {
    return Infinity;
  }
  if (region.targets.some(({ ruledOut }) => ruledOut === null)) {
    return 0;
  }
  const busy = region.targets.filter(({ ruledOut }) => ruledOut === 'no-slot');
  const inUse = busy.reduce((sum, { state }) => sum + state.inFlight, 0);
  return inUse === 0 || latencyMs === 0 ? Infinity : ((waiting + 1) * latencyMs) / inUse;
}
