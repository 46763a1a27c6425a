/**
 * Weighted rendezvous hashing: every entry VM ranks the targets for an object alike, without coordination.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import hashText from '@burdockcove/runtime/hashText';

const HASH_RANGE = 2 ** 32;

/**
 * Returns the positions of the targets in order of preference for the key; `getWeight` returns a target's relative share
 * of keys.
 */
export default function rankNumbers(
  key: string,
  targets: readonly KnownTarget[],
  getWeight: (target: KnownTarget) => number,
): readonly number[] {
  const scores = new Float64Array(targets.length);
  const numbers: number[] = [];
  for (let number = 0; number < targets.length; number += 1) {
    const known = targets[number] as KnownTarget;
    const hashFraction = (hashText(`${known.target.name} ${key}`) + 0.5) / HASH_RANGE;
    scores[number] = -getWeight(known) / Math.log(hashFraction);
    numbers.push(number);
  }
  return numbers.sort((a, b) => (scores[b] as number) - (scores[a] as number));
}
