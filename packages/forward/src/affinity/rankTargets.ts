/**
 * Weighted rendezvous hashing: every entry VM ranks the targets for an object alike, without coordination.
 */
import murmurhash from 'murmurhash';
import type KnownTarget from '@burdockcove/fleet/KnownTarget';

const HASH_RANGE = 2 ** 32;

/** Returns the targets in order of preference for the key; `getWeight` returns a target's relative share of keys. */
export default function rankTargets(
  key: string,
  targets: readonly KnownTarget[],
  getWeight: (target: KnownTarget) => number,
): readonly KnownTarget[] {
  return targets
    .map((known) => {
      const hashFraction = (murmurhash.v3(`${known.target.name} ${key}`) + 0.5) / HASH_RANGE;
      return { known, score: -getWeight(known) / Math.log(hashFraction) };
    })
    .sort((a, b) => b.score - a.score)
    .map(({ known }) => known);
}
