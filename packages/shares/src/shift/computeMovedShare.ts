/**
 * Computes how much traffic a change of weights moves.
 */
import type Route from '@burdockcove/types/Route';
import computeRoutes from './computeRoutes.js';

/**
 * Returns the share of the traffic, 0 to 1, that takes another route under `to` than under `from`.
 */
export default function computeMovedShare(from: readonly Route[], to: readonly Route[]): number {
  const before = computeRoutes(from, to, 0);
  const after = computeRoutes(from, to, 1);
  const gains = after.map((route, index) => route.weight - (before[index]?.weight ?? 0));
  return gains.reduce((sum, gain) => sum + Math.max(0, gain), 0);
}
