/**
 * The order of regions for the objective `latency`.
 */
import type RegionOrder from './RegionOrder.js';
import type RegionEvaluation from './RegionEvaluation.js';

/** Queueing time counts twice as much as network time, since a queued request also delays those behind it. */
const WAIT_WEIGHT = 2;

/** Nearest region first. A farther one only if its additional round-trip time weighs no more than the wait for the nearest. */
export default class LatencyOrder implements RegionOrder {
  orderRegions(regions: readonly RegionEvaluation[], waitMs: number): readonly RegionEvaluation[] {
    const nearestMs = regions[0]?.oneWayMs ?? 0;
    return regions.filter(({ oneWayMs }) => 2 * (oneWayMs - nearestMs) <= WAIT_WEIGHT * waitMs);
  }
}
