/**
 * The low-discrepancy sequences of all selectors.
 */
import type Random from '@burdockcove/runtime/Random';
import RouteSequence from './RouteSequence.js';

/** Sequences start at random positions so that entry VMs do not draw in lockstep. */
export default class RouteSequences {
  private readonly sequences = new Map<string, RouteSequence>();

  constructor(private readonly random: Random) {}

  /** Returns the selector's sequence, which is kept across rebuilds. */
  getSequence(selector: string): RouteSequence {
    const known = this.sequences.get(selector);
    if (known !== undefined) {
      return known;
    }
    const sequence = new RouteSequence(this.random.nextFloat());
    this.sequences.set(selector, sequence);
    return sequence;
  }
}
