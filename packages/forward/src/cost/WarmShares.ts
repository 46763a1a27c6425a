/**
 * The share of visits that found the object warm at the target, by what was known beforehand.
 */
import type Warmth from './Warmth.js';

interface ShareRange {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
}

/** What this VM knows itself stays within limits, so that warm and first visits cannot change places. */
const RANGES: Readonly<Record<Warmth, ShareRange>> = {
  known: { initial: 0.9, min: 0.5, max: 0.97 },
  preferred: { initial: 0.6, min: 0.03, max: 0.97 },
  second: { initial: 0.2, min: 0.02, max: 0.9 },
  unlikely: { initial: 0.03, min: 0.01, max: 0.3 },
  none: { initial: 0.03, min: 0.01, max: 0.3 },
};
const SMOOTHING_FACTOR = 0.05;

/** Shares are 0 to 1. */
export default class WarmShares {
  private readonly shares = new Map<Warmth, number>();

  getShare(warmth: Warmth): number {
    return this.shares.get(warmth) ?? RANGES[warmth].initial;
  }

  /** Records a visit that found the object warm with the given chance; `weight` is 0 to 1. */
  record(warmth: Warmth, chance: number, weight: number): void {
    const share = this.getShare(warmth);
    const { min, max } = RANGES[warmth];
    const updated = share + SMOOTHING_FACTOR * weight * (chance - share);
    this.shares.set(warmth, Math.min(max, Math.max(min, updated)));
  }
}
