/**
 * The work of a request at a target, relative to that for an object which the target has lately handled.
 */
import type Candidate from './Candidate.js';

/** Work of a first visit. */
const FIRST_VISIT_FACTOR = 3.2;
/** Others may have sent the object to its first target, or to its second. */
const LIKELY_WARM_FACTORS: readonly number[] = [1.2, 2.4];

/** 1 or more. */
export default function computeWorkFactor({
  isWarm,
  rank,
}: Pick<Candidate, 'isWarm' | 'rank'>): number {
  return isWarm ? 1 : (LIKELY_WARM_FACTORS[rank] ?? FIRST_VISIT_FACTOR);
}
