/**
 * Seeded random numbers.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** The same seed gives the same numbers. */
export default class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A number from 0 up to but not including 1. */
  nextFloat(): number {
    return uniformFloat64(this.generator);
  }

  /** A whole number from 0 up to but not including `bound`. */
  nextInt(bound: number): number {
    return Math.floor(this.nextFloat() * bound);
  }
}
