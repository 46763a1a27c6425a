/**
 * Measurement and fitting of every slope.
 */
import type Slope from './Slope.js';
import type SlopeMeasurement from './SlopeMeasurement.js';
import type SlopePoint from './SlopePoint.js';
import fitSlope from './fitSlope.js';
import blockMeasurements from './measurements/blockMeasurements.js';
import fleetMeasurements from './measurements/fleetMeasurements.js';
import memberMeasurements from './measurements/memberMeasurements.js';
import operationMeasurements from './measurements/operationMeasurements.js';
import planMeasurements from './measurements/planMeasurements.js';
import targetMeasurements from './measurements/targetMeasurements.js';

const MEASUREMENTS: readonly SlopeMeasurement[] = [
  ...blockMeasurements,
  ...memberMeasurements,
  ...fleetMeasurements,
  ...planMeasurements,
  ...targetMeasurements,
  ...operationMeasurements,
];

async function measurePoints(
  measurement: SlopeMeasurement,
  seed: number,
): Promise<readonly SlopePoint[]> {
  const points: SlopePoint[] = [];
  for (const size of measurement.sizes) {
    points.push({ size, value: await measurement.measure(size, seed) });
  }
  return points;
}

/** One after another, so that they do not weigh on each other. */
export default async function measureSlopes(seed: number): Promise<readonly Slope[]> {
  const slopes: Slope[] = [];
  for (const measurement of MEASUREMENTS) {
    slopes.push(fitSlope(measurement, await measurePoints(measurement, seed)));
  }
  return slopes;
}
