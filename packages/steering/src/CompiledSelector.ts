/**
 * A selector compiled for the request path.
 */
import type Route from '@burdockcove/types/Route';
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type Selector from '@burdockcove/types/Selector';
import type ShiftPositions from '@burdockcove/types/ShiftPositions';
import type CompiledRoute from './CompiledRoute.js';
import type RouteSequence from './RouteSequence.js';
import WeightedRoutes from './WeightedRoutes.js';

/** Uses the weights in force; recompiles routes only if `getRoutes` returns a different array. */
export default class CompiledSelector {
  private routes: readonly Route[] = [];

  private weightedRoutes = new WeightedRoutes([]);

  private readonly plans = new Map<string, RoutePlan[]>();

  constructor(
    readonly selector: Selector,
    private readonly positions: ShiftPositions,
    private readonly sequence: RouteSequence,
    private readonly compileRoute: (route: Route) => CompiledRoute,
  ) {}

  /** Draws a route by the weights in force. The plan has no regions if no route can be drawn. */
  planRoute(clientRegion: string): RoutePlan {
    const weightedRoutes = this.getWeightedRoutes();
    return this.getPlan(clientRegion, weightedRoutes.chooseRoute(this.sequence.nextPosition()));
  }

  /** Returns the plan of each route with a share, without drawing one. */
  listPlans(clientRegion: string): readonly RoutePlan[] {
    const weightedRoutes = this.getWeightedRoutes();
    return weightedRoutes.routes.flatMap((_, index) =>
      weightedRoutes.computeShare(index) > 0 ? [this.getPlan(clientRegion, index)] : [],
    );
  }

  private getPlan(clientRegion: string, index: number): RoutePlan {
    const plans = this.plans.get(clientRegion) ?? [];
    const cached = plans[index + 1];
    if (cached !== undefined) {
      return cached;
    }
    const plan = this.buildPlan(clientRegion, index, this.weightedRoutes.routes[index]);
    plans[index + 1] = plan;
    this.plans.set(clientRegion, plans);
    return plan;
  }

  /**
   * Returns the routes with the weights in force, or with the configured weights if the shift
   * position is unknown.
   */
  getWeightedRoutes(): WeightedRoutes {
    const currentRoutes = this.positions.getRoutes(this.selector.name);
    const routes = currentRoutes.length === 0 ? this.selector.routes : currentRoutes;
    if (routes !== this.routes) {
      this.routes = routes;
      this.weightedRoutes = new WeightedRoutes(routes.map(this.compileRoute));
      this.plans.clear();
    }
    return this.weightedRoutes;
  }

  private buildPlan(clientRegion: string, index: number, compiled?: CompiledRoute): RoutePlan {
    const regions = compiled?.regions ?? [];
    return {
      selector: this.selector.name,
      clientRegion,
      routeIndex: Math.max(index, 0),
      targetService: this.selector.service,
      regions: this.selector.overflow ? regions : regions.slice(0, 1),
    };
  }
}
