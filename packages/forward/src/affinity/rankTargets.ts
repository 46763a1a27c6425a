/**
 * The targets in their order of preference for an object.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import rankNumbers from './rankNumbers.js';

/** Returns the targets in order of preference for the key; `getWeight` returns a target's relative share of keys. */
export default function rankTargets(
  key: string,
  targets: readonly KnownTarget[],
  getWeight: (target: KnownTarget) => number,
): readonly KnownTarget[] {
  return rankNumbers(key, targets, getWeight).map((number) => targets[number] as KnownTarget);
}
