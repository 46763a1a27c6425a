/**
 * Order of regions for the objective `headroom`.
 */
import type Random from '@burdockcove/runtime/Random';
import type RegionOrder from './RegionOrder.js';
import type RegionVerdict from './RegionVerdict.js';
import SPREAD_FROM_USE from './SPREAD_FROM_USE.js';

/** The fuller the nearest region against the least used, the larger the part of requests that goes farther. */
export default class HeadroomOrder implements RegionOrder {
  constructor(private readonly random: Random) {}

  orderRegions(regions: readonly RegionVerdict[]): readonly RegionVerdict[] {
    const [nearest, ...farther] = regions;
    if (nearest === undefined || farther.length === 0 || nearest.use <= SPREAD_FROM_USE) {
      return regions;
    }
    const byUse = [...farther].sort((a, b) => a.use - b.use);
    const least = Math.max(SPREAD_FROM_USE, byUse[0]?.use ?? 1);
    const part = (nearest.use - least) / (1 - SPREAD_FROM_USE);
    return this.random.nextFloat() < part ? [...byUse, nearest] : regions;
  }
}
