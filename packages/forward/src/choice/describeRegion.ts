/**
 * Describes the evaluation of a region for `/explain`.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import type ChoiceDescription from './ChoiceDescription.js';
import type RegionEvaluation from './RegionEvaluation.js';
import type TargetEvaluation from './TargetEvaluation.js';

type RegionDescription = ChoiceDescription['regions'][number];

function describeTarget(
  evaluation: TargetEvaluation,
  nowMs: number,
): RegionDescription['targets'][0] {
  const { target, state, free, ruledOut, lastResort } = evaluation;
  const median = state.latency.estimateQuantile(nowMs, 0.5);
  const ageMs = state.reportedLoad.getAgeMs(nowMs);
  return {
    target: target.name,
    used: state.inFlight,
    free,
    ruledOut,
    lastResort,
    condition: state.outlierDetector.getCondition(nowMs),
    latencyMs: isSome(median) ? median.value : null,
    load: state.estimateLoad(nowMs, target.slots),
    reportAgeMs: Number.isFinite(ageMs) ? ageMs : null,
    slowStartShare: state.slowStart.getSlotShare(nowMs),
  };
}

/** Returns the reasons for and against each target of the region. */
export default function describeRegion(
  evaluation: RegionEvaluation,
  nowMs: number,
): RegionDescription {
  const { region, oneWayMs, utilization, ejectionIgnored } = evaluation;
  const targets = evaluation.targets.map((target) => describeTarget(target, nowMs));
  return { region, oneWayMs, use: utilization, ejectionIgnored, targets };
}
