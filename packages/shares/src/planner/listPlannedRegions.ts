/**
 * Which regions a region's planner plans for.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type Member from '@burdockcove/types/Member';

function getOneWayMs(configuration: Configuration, a: string, b: string): number {
  const link = configuration.links.find(
    ({ between }) => between.includes(a) && between.includes(b) && a !== b,
  );
  return link?.oneWayMs ?? Infinity;
}

/** The region itself, and those without any listed entry VM to which it is the nearest with some. */
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
