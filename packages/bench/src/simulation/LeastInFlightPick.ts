/**
 * Baseline: the target with the fewest own requests in flight.
 */
import type Random from '@burdockcove/runtime/Random';
import type PickPolicy from './PickPolicy.js';

/** Equal ones are drawn at random. */
export default class LeastInFlightPick implements PickPolicy {
  constructor(private readonly random: Random) {}

  pickIndex(inFlight: readonly number[]): number {
    const least = Math.min(...inFlight);
    const best = inFlight.flatMap((count, index) => (count === least ? [index] : []));
    return best[this.random.nextInt(best.length)] as number;
  }
}
