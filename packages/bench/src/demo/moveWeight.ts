/**
 * A change of a selector's weights.
 */
import type Configuration from '@burdockcove/types/Configuration';

/** Moves weight from the selector's first route to its last. */
export default function moveWeight(
  current: Configuration,
  name: string,
  move: number,
): Configuration {
  const selectors = current.selectors.map((selector) => {
    if (selector.name !== name) {
      return selector;
    }
    const last = selector.routes.length - 1;
    const routes = selector.routes.map((route, index) => {
      const change = (index === last ? move : 0) - (index === 0 ? move : 0);
      return { ...route, weight: route.weight + change };
    });
    return { ...selector, routes };
  });
  return { ...current, selectors };
}
