/**
 * Baseline: any target at random.
 */
import type Random from '@burdockcove/runtime/Random';
import type PickPolicy from './PickPolicy.js';

export default class RandomPick implements PickPolicy {
  constructor(private readonly random: Random) {}

  pickIndex(inFlight: readonly number[]): number {
    return this.random.nextInt(inFlight.length);
  }
}
