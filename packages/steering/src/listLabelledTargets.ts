/**
 * Labels of targets, merged with those of their places.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type Labels from '@burdockcove/types/Labels';
import type LabelledTarget from './LabelledTarget.js';

type Places = Pick<Configuration, 'regions' | 'failureDomains' | 'targets'>;

const NO_LABELS: Labels = {};

function isLeaving(labels: Labels): boolean {
  return labels.leaving === 'true';
}

/** One entry a target, in the configuration's order; the narrower place's label wins. */
export default function listLabelledTargets(places: Places): readonly LabelledTarget[] {
  const regions = new Map(places.regions.map((region) => [region.name, region.labels]));
  const domains = new Map(places.failureDomains.map((domain) => [domain.name, domain]));
  return places.targets.map((target) => {
    const domain = domains.get(target.failureDomain);
    const region = domain?.region ?? '';
    const layers = [regions.get(region) ?? NO_LABELS, domain?.labels ?? NO_LABELS, target.labels];
    const builtIn = { region, failureDomain: target.failureDomain, service: target.service };
    return {
      target,
      region,
      labels: { ...layers[0], ...layers[1], ...layers[2], ...builtIn },
      labelledLeaving: layers.some(isLeaving),
    };
  });
}
