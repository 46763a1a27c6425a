/**
 * Explains how the selectors apply to one service and client.
 */
import { isNone, none, some, type Option } from 'fp-ts/lib/Option.js';
import type Route from '@burdockcove/types/Route';
import type Selector from '@burdockcove/types/Selector';
import type CompiledSelector from './CompiledSelector.js';
import type CompiledSteering from './CompiledSteering.js';
import hasLabels from './hasLabels.js';
import type RouteExplanation from './RouteExplanation.js';
import type RuledOut from './RuledOut.js';

function haveSameTargets(left: Route, right: Route): boolean {
  return hasLabels(left.targets, right.targets) && hasLabels(right.targets, left.targets);
}

function computeWeightShare(routes: readonly Route[], wanted: Route): number {
  const total = routes.reduce((sum, { weight }) => sum + weight, 0);
  const weight = routes.find((route) => haveSameTargets(route, wanted))?.weight ?? 0;
  return total > 0 ? weight / total : 0;
}

function listRuledOutSelectors(
  steering: CompiledSteering,
  service: string,
  clientRegion: string,
): readonly RuledOut[] {
  const appliedSelector = steering.findSelector(service, clientRegion)?.selector.name;
  const selectors = steering.index.configuration.selectors.filter(
    (selector) => selector.service === service && selector.name !== appliedSelector,
  );
  const explain = (selector: Selector): string =>
    selector.clientRegions.length === 0 || selector.clientRegions.includes(clientRegion)
      ? `selector ${appliedSelector ?? ''} takes precedence`
      : `it applies only to clients of ${selector.clientRegions.join(', ')}`;
  return selectors.map((each) => ({ kind: 'selector', name: each.name, reason: explain(each) }));
}

function listRuledOutTargets(
  steering: CompiledSteering,
  service: string,
  compiled: CompiledSelector | undefined,
): readonly RuledOut[] {
  const weighted = compiled?.getWeightedRoutes();
  return steering.index.listTargets(service).flatMap((each): RuledOut[] => {
    const exclusionReason = steering.getExclusionReason(each);
    if (exclusionReason !== undefined) {
      return [{ kind: 'target', name: each.target.name, reason: exclusionReason }];
    }
    const isRouted =
      weighted === undefined ||
      weighted.routes.some(
        ({ route }, index) =>
          weighted.computeShare(index) > 0 && hasLabels(each.labels, route.targets),
      );
    const reason = 'its labels match no route with a share';
    return isRouted ? [] : [{ kind: 'target', name: each.target.name, reason }];
  });
}

function describeRoutes(compiled: CompiledSelector): RouteExplanation['routes'] {
  const weighted = compiled.getWeightedRoutes();
  return weighted.routes.map(({ route, regions }, index) => ({
    targets: route.targets,
    inForce: computeWeightShare(
      weighted.routes.map((each) => each.route),
      route,
    ),
    ordered: computeWeightShare(compiled.selector.routes, route),
    share: weighted.computeShare(index),
    regions: regions.map(({ region, oneWayMs, targets }) => ({
      region,
      oneWayMs,
      targets: targets.map(({ name }) => name),
    })),
  }));
}

/** Returns the explanation, or none if the service is unknown. Draws no route. */
export default function explainRoute(
  steering: CompiledSteering,
  service: string,
  client: string,
): Option<RouteExplanation> {
  if (isNone(steering.index.services.findByName(service))) {
    return none;
  }
  const clientRegion = steering.index.clientBlocks.findRegion(client);
  const compiled = steering.findSelector(service, clientRegion);
  return some({
    revision: steering.revision,
    service,
    client,
    clientRegion,
    selector: compiled?.selector.name ?? '',
    overflow: compiled?.selector.overflow ?? true,
    routes: compiled === undefined ? [] : describeRoutes(compiled),
    ruledOut: [
      ...listRuledOutSelectors(steering, service, clientRegion),
      ...listRuledOutTargets(steering, service, compiled),
    ],
  });
}
