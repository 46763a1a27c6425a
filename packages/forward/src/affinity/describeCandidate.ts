/**
 * Describes one compared target.
 */
import type DescribedCandidate from './DescribedCandidate.js';
import type ExclusionReason from './ExclusionReason.js';
import type RankedTarget from './RankedTarget.js';

const HUNDREDTHS = 100;

function round(value: number): number {
  return Math.round(value * HUNDREDTHS) / HUNDREDTHS;
}

/** Times are rounded to milliseconds. */
export default function describeCandidate(
  { known, rank, isWarm, costMs, waitMs, expectedDurationMs, forecast }: RankedTarget,
  coldness: Pick<DescribedCandidate, 'isCold' | 'isConfirmed'>,
  reason: ExclusionReason | undefined,
): DescribedCandidate {
  return {
    target: known.target.name,
    region: known.region,
    preference: rank,
    isWarm,
    ...coldness,
    workMs: Math.round(forecast?.workMs ?? expectedDurationMs),
    ...(forecast && {
      workLeftMs: Math.round(forecast.workLeftMs),
      workTimeRatio: round(forecast.workTimeRatio),
      missChance: round(forecast.missChance),
    }),
    waitMs: Math.round(waitMs),
    endMs: Math.round(costMs),
    ...(reason && { reason }),
  };
}
