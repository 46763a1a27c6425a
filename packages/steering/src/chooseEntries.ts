/**
 * Selects the entry VMs that are returned to one client.
 */
import type Member from '@burdockcove/types/Member';
import type EntryTier from './EntryTier.js';

const MAX_FIRST_TIER_ENTRIES = 4;
const MAX_OTHER_TIER_ENTRIES = 2;
const MAX_ENTRIES = 8;

/** Starts at an index given by the rotation and walks forwards or backwards. */
function selectRotated(
  members: readonly Member[],
  rotation: number,
  limit: number,
): readonly Member[] {
  const count = members.length;
  const start = rotation % count;
  const stride = Math.floor(rotation / count) % 2 === 0 ? 1 : count - 1;
  return Array.from(
    { length: Math.min(limit, count) },
    (_, index) => members[(start + index * stride) % count] as Member,
  );
}

/**
 * Returns a few VMs of the best tier, then a few of each following tier. Rotations start at
 * different members of a tier, and half of them traverse it backwards, so that the load of a failed
 * VM is distributed over two others.
 */
export default function chooseEntries(
  tiers: readonly EntryTier[],
  rotation: number,
): readonly Member[] {
  return tiers
    .flatMap(({ members }, index) =>
      selectRotated(
        members,
        rotation,
        index === 0 ? MAX_FIRST_TIER_ENTRIES : MAX_OTHER_TIER_ENTRIES,
      ),
    )
    .slice(0, MAX_ENTRIES);
}
