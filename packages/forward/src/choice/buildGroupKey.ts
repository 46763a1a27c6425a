/**
 * Groups requests that may use the same targets.
 */
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type ChoiceRequest from '../ChoiceRequest.js';

const planKeys = new WeakMap<RoutePlan['regions'], string>();

function buildPlanKey({ regions }: RoutePlan): string {
  const known = planKeys.get(regions);
  if (known !== undefined) {
    return known;
  }
  const key = regions
    .map(({ region, targets }) => `${region}:${targets.map(({ name }) => name).join(',')}`)
    .join(';');
  planKeys.set(regions, key);
  return key;
}

/**
 * Builds a key that is equal for requests of one service that may use the same targets: if one of them finds no free slot,
 * neither do the others.
 */
export default function buildGroupKey({ plan, tried, semantics }: ChoiceRequest): string {
  return `${semantics}|${tried.join(',')}|${buildPlanKey(plan)}`;
}
