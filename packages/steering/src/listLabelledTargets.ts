/**
 * Merges the labels of targets with those of their failure domains and regions.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type Labels from '@burdockcove/types/Labels';
import type LabelledTarget from './LabelledTarget.js';

type TargetTopology = Pick<Configuration, 'regions' | 'failureDomains' | 'targets'>;

const NO_LABELS: Labels = {};

function isLeaving(labels: Labels): boolean {
  return labels.leaving === 'true';
}

/**
 * Returns one entry per target, in the configuration's order. A target's labels override its
 * failure domain's, which override its region's.
 */
export default function listLabelledTargets(topology: TargetTopology): readonly LabelledTarget[] {
  const regions = new Map(topology.regions.map((region) => [region.name, region.labels]));
  const domains = new Map(topology.failureDomains.map((domain) => [domain.name, domain]));
  return topology.targets.map((target) => {
    const domain = domains.get(target.failureDomain);
    const region = domain?.region ?? '';
    const labelSources = [
      regions.get(region) ?? NO_LABELS,
      domain?.labels ?? NO_LABELS,
      target.labels,
    ];
    const builtIn = { region, failureDomain: target.failureDomain, service: target.service };
    return {
      target,
      region,
      labels: { ...labelSources[0], ...labelSources[1], ...labelSources[2], ...builtIn },
      isLabelledLeaving: labelSources.some(isLeaving),
    };
  });
}
