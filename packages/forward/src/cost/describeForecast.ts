/**
 * Describes a forecast for logs.
 */
import type ChoiceBasis from '../ChoiceBasis.js';
import type Forecast from './Forecast.js';

const PERCENT = 100;

function round(value: number): number {
  return Math.round(value * PERCENT) / PERCENT;
}

/** Returns no fields where there is no forecast. */
export default function describeForecast(
  forecast: Forecast | undefined,
): Pick<ChoiceBasis, 'workMs' | 'workLeftMs' | 'workTimeRatio' | 'goalChance'> {
  if (forecast === undefined) {
    return {};
  }
  const { workMs, workLeftMs, workTimeRatio, missChance } = forecast;
  return {
    workMs: Math.round(workMs),
    workLeftMs: Math.round(workLeftMs),
    workTimeRatio: round(workTimeRatio),
    goalChance: round(1 - missChance),
  };
}
