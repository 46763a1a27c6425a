/**
 * Comparison of routes.
 */
import type Route from '@burdockcove/types/Route';
import computeMovedShare from './computeMovedShare.js';

/** Differences of weight below this come from rounding. */
const ROUNDING_TOLERANCE = 1e-9;

/** True where the same traffic takes the same routes. */
export default function areRoutesEqual(a: readonly Route[], b: readonly Route[]): boolean {
  return computeMovedShare(a, b) < ROUNDING_TOLERANCE;
}
