/**
 * Fitting of a line.
 */
import { linearRegression } from 'simple-statistics';
import type Slope from './Slope.js';
import type SlopeMeasurement from './SlopeMeasurement.js';
import type SlopePoint from './SlopePoint.js';

const MAX_RESIDUAL = 0.1;

function measureResidual(points: readonly SlopePoint[], slope: number, intercept: number): number {
  const largest = Math.max(...points.map(({ value }) => Math.abs(value)));
  if (largest === 0) {
    return 0;
  }
  const distances = points.map(({ size, value }) => Math.abs(value - (intercept + slope * size)));
  return Math.max(...distances) / largest;
}

/** Least squares; the residual says how far from a line the growth is. */
export default function fitSlope(
  measurement: Omit<SlopeMeasurement, 'measure' | 'sizes'>,
  points: readonly SlopePoint[],
): Slope {
  const { m, b } = linearRegression(points.map(({ size, value }) => [size, value]));
  const residual = measureResidual(points, m, b);
  return {
    name: measurement.name,
    summary: measurement.summary,
    per: measurement.per,
    unit: measurement.unit,
    points,
    slope: m,
    intercept: b,
    residual,
    straight: residual <= MAX_RESIDUAL,
  };
}
