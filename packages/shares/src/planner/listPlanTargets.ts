/**
 * Lists the targets and slots of a region that are available for allocation.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type Target from '@burdockcove/types/Target';
import type PlanInput from './PlanInput.js';

type PlanTarget = PlanInput['targets'][number];

/**
 * Scales the slots of one service's targets down to the region's limit by the largest-remainder
 * method.
 */
function limitSlots(targets: readonly Target[], limit: number): readonly PlanTarget[] {
  const sum = targets.reduce((total, target) => total + target.slots, 0);
  if (sum <= limit) {
    return targets.map(({ name, slots }) => ({ name, slots }));
  }
  const scaled = targets.map(({ name, slots }) => {
    const exact = (slots * limit) / sum;
    return { name, slots: Math.floor(exact), fraction: exact - Math.floor(exact) };
  });
  const unassigned = limit - scaled.reduce((total, target) => total + target.slots, 0);
  const byFraction = [...scaled].sort(
    (a, b) => b.fraction - a.fraction || (a.name < b.name ? -1 : 1),
  );
  const roundedUp = new Set(byFraction.slice(0, unassigned).map((target) => target.name));
  return scaled.map(({ name, slots }) => ({
    name,
    slots: roundedUp.has(name) ? slots + 1 : slots,
  }));
}

/**
 * Returns the region's targets sorted by name, with slots limited to `maxInFlight` of each service.
 */
export default function listPlanTargets(
  configuration: Configuration,
  region: string,
): readonly PlanTarget[] {
  const domains = new Set(
    configuration.failureDomains
      .filter((domain) => domain.region === region)
      .map((domain) => domain.name),
  );
  const targets = configuration.targets.filter((target) => domains.has(target.failureDomain));
  const limits = configuration.regions.find(({ name }) => name === region)?.maxInFlight ?? {};
  const services = [...new Set(targets.map((target) => target.service))];
  return services
    .flatMap((service) =>
      limitSlots(
        targets.filter((target) => target.service === service),
        limits[service] ?? Infinity,
      ),
    )
    .sort((a, b) => (a.name < b.name ? -1 : 1));
}
