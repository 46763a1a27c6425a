/**
 * Groups targets by region, nearest first.
 */
import type RegionCandidates from '@burdockcove/types/RegionCandidates';
import type LabelledTarget from './LabelledTarget.js';
import type RegionDelays from './RegionDelays.js';

/** Regions without a link from `ownRegion` are omitted. */
export default function listRegionCandidates(
  targets: readonly LabelledTarget[],
  ownRegion: string,
  delays: RegionDelays,
): readonly RegionCandidates[] {
  const names = [...new Set(targets.map(({ region }) => region))].sort();
  return names
    .map((region) => ({
      region,
      oneWayMs: delays.getOneWayMs(ownRegion, region),
      targets: targets.filter((each) => each.region === region).map(({ target }) => target),
    }))
    .filter(({ oneWayMs }) => oneWayMs < Infinity)
    .sort((left, right) => left.oneWayMs - right.oneWayMs);
}
