/**
 * Computes the work of a request at a target, relative to a request for an object that the target has recently handled.
 */
import type Candidate from './Candidate.js';

/** Factor for an object that the target has probably not handled before. */
const COLD_OBJECT_FACTOR = 3.2;
/** Factors by rank: other entry VMs may have sent the object to its first or second target. */
const LIKELY_WARM_FACTORS: readonly number[] = [1.2, 2.4];

/** Returns 1 or more. */
export default function computeWorkFactor({
  isWarm,
  rank,
}: Pick<Candidate, 'isWarm' | 'rank'>): number {
  return isWarm ? 1 : (LIKELY_WARM_FACTORS[rank] ?? COLD_OBJECT_FACTOR);
}
