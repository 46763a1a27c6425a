/**
 * Changes that would move traffic past a cap by putting another selector in charge.
 */
import type Configuration from '@burdockcove/types/Configuration';
import formatPercent from '../output/formatPercent.js';
import type LimitBreach from './LimitBreach.js';
import measureTargetMove from './measureTargetMove.js';

const ROUNDING = 1e-9;

function findSelector(configuration: Configuration, name: string) {
  return configuration.selectors.find((selector) => selector.name === name);
}

/**
 * A change of a selector's weights is capped by its shift. A selector that is added, removed,
 * reordered or narrowed takes effect at once, so it may move no more than the cap of the selectors
 * in charge before and after.
 */
export default function listCapBreaches(
  before: Configuration,
  after: Configuration,
): readonly LimitBreach[] {
  const services = after.services.map(({ name }) => name);
  const regions = after.regions.map(({ name }) => name);
  return services.flatMap((service) =>
    regions.flatMap((region): LimitBreach[] => {
      const { from, to, moved } = measureTargetMove(before, after, service, region);
      const caps = [findSelector(before, from), findSelector(after, to)].flatMap((selector) =>
        selector === undefined ? [] : [selector.shift.cap],
      );
      const cap = Math.min(1, ...caps);
      if (from === to || moved <= cap + ROUNDING) {
        return [];
      }
      const detail =
        `${formatPercent(moved)} of ${service} traffic from ${region} would move at once from ` +
        `${from || 'no selector'} to ${to || 'no selector'}, and the cap is ${formatPercent(cap)}; ` +
        'first give the new selector the shares in force, then change its weights';
      return [{ limit: 'cap', object: `selector ${to || from}`, detail }];
    }),
  );
}
