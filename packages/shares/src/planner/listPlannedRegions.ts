/**
 * Lists the regions that a region's planner is responsible for.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type Member from '@burdockcove/types/Member';

function getOneWayMs(configuration: Configuration, a: string, b: string): number {
  const link = configuration.links.find(
    ({ between }) => between.includes(a) && between.includes(b) && a !== b,
  );
  return link?.oneWayMs ?? Infinity;
}

/**
 * Returns the region itself, and regions without listed entry VMs whose nearest region with entry
 * VMs is this one.
 */
export default function listPlannedRegions(
  configuration: Configuration,
  members: readonly Member[],
  region: string,
): readonly string[] {
  const populated = [...new Set(members.map((member) => member.region))].sort();
  const findNearest = (unpopulated: string): string | undefined =>
    [...populated].sort(
      (a, b) =>
        getOneWayMs(configuration, a, unpopulated) - getOneWayMs(configuration, b, unpopulated),
    )[0];
  const unpopulated = configuration.regions
    .map(({ name }) => name)
    .filter((name) => !populated.includes(name) && findNearest(name) === region);
  return [region, ...unpopulated];
}
