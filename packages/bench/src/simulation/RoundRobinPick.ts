/**
 * Baseline: each target in turn.
 */
import type Random from '@burdockcove/runtime/Random';
import type PickPolicy from './PickPolicy.js';

export default class RoundRobinPick implements PickPolicy {
  private next: number;

  constructor(random: Random) {
    this.next = random.nextInt(1_000);
  }

  pickIndex(inFlight: readonly number[]): number {
    this.next += 1;
    return this.next % inFlight.length;
  }
}
