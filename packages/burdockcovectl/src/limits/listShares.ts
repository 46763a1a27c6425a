/**
 * Shares of the routes that decide for one region's clients.
 */
import hasLabels from '@burdockcove/steering/hasLabels';
import type LabelledTarget from '@burdockcove/steering/LabelledTarget';
import type Configuration from '@burdockcove/types/Configuration';
import type Selector from '@burdockcove/types/Selector';

/** A route with a share of the traffic and the targets that may take it. */
interface RouteShare {
  readonly share: number;
  readonly targets: readonly LabelledTarget[];
}

/** `selector` is undefined where none applies. */
interface Shares {
  readonly selector: Selector | undefined;
  readonly routes: readonly RouteShare[];
}

/** As the entry VMs would draw: routes without a usable target take nothing. */
export default function listShares(
  configuration: Configuration,
  service: string,
  clientRegion: string,
  usable: readonly LabelledTarget[],
): Shares {
  const selector = configuration.selectors.find(
    (each) =>
      each.service === service &&
      (each.clientRegions.length === 0 || each.clientRegions.includes(clientRegion)),
  );
  if (selector === undefined) {
    return { selector, routes: usable.length === 0 ? [] : [{ share: 1, targets: usable }] };
  }
  const routes = selector.routes
    .map((route) => ({
      weight: route.weight,
      targets: usable.filter(({ labels }) => hasLabels(labels, route.targets)),
    }))
    .filter(({ weight, targets }) => weight > 0 && targets.length > 0);
  const total = routes.reduce((sum, { weight }) => sum + weight, 0);
  return {
    selector,
    routes: routes.map(({ weight, targets }) => ({ share: weight / total, targets })),
  };
}
