/**
 * Order of regions for the objective `latency`.
 */
import type RegionOrder from './RegionOrder.js';
import type RegionVerdict from './RegionVerdict.js';

/** Nearest first; a farther region only where the way there and back is shorter than the wait for a nearer one. */
export default class LatencyOrder implements RegionOrder {
  orderRegions(regions: readonly RegionVerdict[], waitMs: number): readonly RegionVerdict[] {
    const nearestMs = regions[0]?.oneWayMs ?? 0;
    return regions.filter((region) => 2 * (region.oneWayMs - nearestMs) <= waitMs);
  }
}
