/**
 * Routes with their weights, for drawing one.
 */
import type CompiledRoute from './CompiledRoute.js';

/** Routes without a target, or without weight, are never drawn. */
export default class WeightedRoutes {
  private readonly total: number;

  constructor(readonly routes: readonly CompiledRoute[]) {
    this.total = routes.reduce((sum, route) => sum + WeightedRoutes.getWeight(route), 0);
  }

  private static getWeight({ route, regions }: CompiledRoute): number {
    return regions.length === 0 ? 0 : route.weight;
  }

  /** Position of the route that holds the point (from 0 up to 1), or -1 where none may be drawn. */
  chooseRoute(point: number): number {
    let remaining = point * this.total;
    let lastDrawable = -1;
    for (let index = 0; index < this.routes.length; index += 1) {
      const weight = WeightedRoutes.getWeight(this.routes[index] as CompiledRoute);
      if (weight > 0) {
        if (remaining < weight) {
          return index;
        }
        remaining -= weight;
        lastDrawable = index;
      }
    }
    return lastDrawable;
  }

  /** Share of the traffic that the route at this position takes, 0 to 1. */
  computeShare(index: number): number {
    const route = this.routes[index];
    return route === undefined || this.total === 0
      ? 0
      : WeightedRoutes.getWeight(route) / this.total;
  }
}
