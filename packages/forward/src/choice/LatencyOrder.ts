/**
 * Order of regions for the objective `latency`.
 */
import type RegionOrder from './RegionOrder.js';
import type RegionVerdict from './RegionVerdict.js';

/** A request that waits delays those behind it as well, so its wait weighs more than the same time on the way. */
const WAIT_WEIGHT = 2;

/** Nearest first; a farther region only where the way there and back weighs less than the wait for the nearest. */
export default class LatencyOrder implements RegionOrder {
  orderRegions(regions: readonly RegionVerdict[], waitMs: number): readonly RegionVerdict[] {
    const nearestMs = regions[0]?.oneWayMs ?? 0;
    return regions.filter(({ oneWayMs }) => 2 * (oneWayMs - nearestMs) <= WAIT_WEIGHT * waitMs);
  }
}
