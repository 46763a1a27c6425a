/**
 * Interpolates between two sets of route weights.
 */
import type Route from '@burdockcove/types/Route';

function buildRouteKey(route: Route): string {
  const labels = Object.entries(route.targets).sort(([a], [b]) => (a < b ? -1 : 1));
  return JSON.stringify(labels);
}

/** Weights by route, normalized to a sum of 1. */
function computeShares(routes: readonly Route[]): Map<string, number> {
  const sum = routes.reduce((total, route) => total + route.weight, 0);
  const shares = new Map<string, number>();
  for (const route of routes) {
    const key = buildRouteKey(route);
    const share = sum > 0 ? route.weight / sum : 1 / routes.length;
    shares.set(key, (shares.get(key) ?? 0) + share);
  }
  return shares;
}

/**
 * Returns the routes in force at a position from 0 (`from`) to 1 (`to`), with weights that sum to
 * 1.
 */
export default function computeRoutes(
  from: readonly Route[],
  to: readonly Route[],
  position: number,
): readonly Route[] {
  const fromShares = computeShares(from);
  const toShares = computeShares(to);
  const routes = new Map([...from, ...to].map((route) => [buildRouteKey(route), route]));
  return [...routes].map(([key, route]) => ({
    ...route,
    weight: (fromShares.get(key) ?? 0) * (1 - position) + (toShares.get(key) ?? 0) * position,
  }));
}
