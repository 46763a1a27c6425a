/**
 * Changes that would leave traffic without any target.
 */
import hasLabels from '@burdockcove/steering/hasLabels';
import type Configuration from '@burdockcove/types/Configuration';
import type LimitBreach from './LimitBreach.js';
import listUsableTargets from './listUsableTargets.js';

function isServed(configuration: Configuration, selectorName: string): boolean {
  const selector = configuration.selectors.find(({ name }) => name === selectorName);
  const usable = selector === undefined ? [] : listUsableTargets(configuration, selector.service);
  return (
    selector?.routes.some(
      ({ weight, targets }) =>
        weight > 0 && usable.some(({ labels }) => hasLabels(labels, targets)),
    ) ?? false
  );
}

/** Services and selectors that have a usable target before the change and none after it. */
export default function listTargetBreaches(
  before: Configuration | undefined,
  after: Configuration,
): readonly LimitBreach[] {
  const wasUsable = (service: string): boolean =>
    before === undefined || listUsableTargets(before, service).length > 0;
  const services = after.services
    .filter(({ name }) => wasUsable(name) && listUsableTargets(after, name).length === 0)
    .map(({ name }): LimitBreach => ({
      limit: 'targets',
      object: `service ${name}`,
      detail: 'its last target that may take new work would be gone',
    }));
  const selectors = after.selectors
    .filter(
      ({ name }) => !isServed(after, name) && (before === undefined || isServed(before, name)),
    )
    .map(({ name }): LimitBreach => ({
      limit: 'targets',
      object: `selector ${name}`,
      detail: 'no route with a weight above 0 would have a target that may take new work',
    }));
  return [...services, ...selectors];
}
