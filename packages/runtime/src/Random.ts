/**
 * Seeded random numbers.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** The same seed produces the same sequence. */
export default class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a number from 0 up to but not including 1. */
  nextFloat(): number {
    return uniformFloat64(this.generator);
  }

  /** Returns an integer from 0 up to but not including `bound`. */
  nextInt(bound: number): number {
    return Math.floor(this.nextFloat() * bound);
  }
}
