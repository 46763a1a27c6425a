/**
 * Comparison of route weights.
 */
import type Route from '@burdockcove/types/Route';
import computeMovedShare from './computeMovedShare.js';

/** Smaller differences of weight are rounding errors. */
const ROUNDING_TOLERANCE = 1e-9;

/** Whether both sets of routes distribute traffic equally. */
export default function areRoutesEqual(a: readonly Route[], b: readonly Route[]): boolean {
  return computeMovedShare(a, b) < ROUNDING_TOLERANCE;
}
