/**
 * Weighted rendezvous hashing: every entry VM ranks the targets of an object alike, without talking.
 */
import murmurhash from 'murmurhash';
import type KnownTarget from '@burdockcove/fleet/KnownTarget';

const HASH_RANGE = 2 ** 32;

/** The targets in order of preference for the key; `getWeight` gives each target's share of the keys. */
export default function rankTargets(
  key: string,
  targets: readonly KnownTarget[],
  getWeight: (target: KnownTarget) => number,
): readonly KnownTarget[] {
  return targets
    .map((known) => {
      const point = (murmurhash.v3(`${known.target.name} ${key}`) + 0.5) / HASH_RANGE;
      return { known, score: -getWeight(known) / Math.log(point) };
    })
    .sort((a, b) => b.score - a.score)
    .map(({ known }) => known);
}
