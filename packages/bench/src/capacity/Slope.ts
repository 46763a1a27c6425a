/**
 * A line fitted to measurements at growing sizes.
 */
import type SlopePoint from './SlopePoint.js';

/** `value = intercept + slope * size`. */
interface Slope {
  readonly name: string;
  readonly summary: string;
  readonly per: string;
  readonly unit: string;
  readonly points: readonly SlopePoint[];
  readonly slope: number;
  readonly intercept: number;
  /** Largest distance of a point from the line, as a share of the largest value. */
  readonly residual: number;
  /** False where the growth is not a line: the residual is above the limit. */
  readonly straight: boolean;
}

export default Slope;
