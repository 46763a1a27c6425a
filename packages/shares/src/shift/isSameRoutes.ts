/**
 * Comparison of routes.
 */
import type Route from '@burdockcove/types/Route';
import measureMove from './measureMove.js';

/** Differences of weight below this come from rounding. */
const ROUNDING = 1e-9;

/** True where the same traffic takes the same routes. */
export default function isSameRoutes(a: readonly Route[], b: readonly Route[]): boolean {
  return measureMove(a, b) < ROUNDING;
}
