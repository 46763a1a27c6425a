/**
 * Slopes by name.
 */
import type Slope from './Slope.js';

/** Throws where a row names a slope that was not measured. */
export default class SlopeBook {
  private readonly byName: ReadonlyMap<string, Slope>;

  constructor(readonly slopes: readonly Slope[]) {
    this.byName = new Map(slopes.map((slope) => [slope.name, slope]));
  }

  getSlope(name: string): Slope {
    const slope = this.byName.get(name);
    if (slope === undefined) {
      throw new Error(`no slope is named '${name}'`);
    }
    return slope;
  }

  /** The fitted line at a size. */
  estimateAt(name: string, size: number): number {
    const { slope, intercept } = this.getSlope(name);
    return intercept + slope * size;
  }

  /** The largest measured value, for what does not grow along a line. */
  getLargest(name: string): number {
    return Math.max(...this.getSlope(name).points.map(({ value }) => value));
  }
}
