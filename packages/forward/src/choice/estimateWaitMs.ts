/**
 * Estimates the wait for a slot in the nearest region.
 */
import type RegionEvaluation from './RegionEvaluation.js';

/**
 * Returns the expected milliseconds until a slot of the region is free for a request with `waiting` requests ahead of it:
 * zero if a target is usable now, `Infinity` if no slot there can become free or `latencyMs` is unknown (zero).
 */
export default function estimateWaitMs(
  region: RegionEvaluation | undefined,
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
