/**
 * Routes with weights, from which one is drawn per request.
 */
import type CompiledRoute from './CompiledRoute.js';

/** Routes without targets or without weight are never drawn. */
export default class WeightedRoutes {
  private readonly total: number;

  constructor(readonly routes: readonly CompiledRoute[]) {
    this.total = routes.reduce((sum, route) => sum + WeightedRoutes.getWeight(route), 0);
  }

  private static getWeight({ route, regions }: CompiledRoute): number {
    return regions.length === 0 ? 0 : route.weight;
  }

  /**
   * Returns the index of the route at the point (from 0 up to 1), or -1 if no route can be drawn.
   */
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

  /** Share of the traffic that the route at this index takes, 0 to 1. */
  computeShare(index: number): number {
    const route = this.routes[index];
    return route === undefined || this.total === 0
      ? 0
      : WeightedRoutes.getWeight(route) / this.total;
  }
}
