/**
 * The order of regions for the objective `headroom`.
 */
import type Random from '@burdockcove/runtime/Random';
import type RegionOrder from './RegionOrder.js';
import type RegionEvaluation from './RegionEvaluation.js';
import SPREAD_MIN_UTILIZATION from './SPREAD_MIN_UTILIZATION.js';

/**
 * Prefers farther regions for a share of the requests. The share grows with the difference in utilization between the
 * nearest region and the least utilized farther one.
 */
export default class HeadroomOrder implements RegionOrder {
  constructor(private readonly random: Random) {}

  orderRegions(regions: readonly RegionEvaluation[]): readonly RegionEvaluation[] {
    const [nearest, ...farther] = regions;
    if (
      nearest === undefined ||
      farther.length === 0 ||
      nearest.utilization <= SPREAD_MIN_UTILIZATION
    ) {
      return regions;
    }
    const byUtilization = [...farther].sort((a, b) => a.utilization - b.utilization);
    const lowest = Math.max(SPREAD_MIN_UTILIZATION, byUtilization[0]?.utilization ?? 1);
    const fartherShare = (nearest.utilization - lowest) / (1 - SPREAD_MIN_UTILIZATION);
    return this.random.nextFloat() < fartherShare ? [...byUtilization, nearest] : regions;
  }
}
