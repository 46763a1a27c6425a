/**
 * A region's judgement in words that `/explain` shows.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import type ChoiceDescription from './ChoiceDescription.js';
import type RegionVerdict from './RegionVerdict.js';
import type TargetVerdict from './TargetVerdict.js';

type RegionDescription = ChoiceDescription['regions'][number];

function describeTarget(verdict: TargetVerdict, nowMs: number): RegionDescription['targets'][0] {
  const { target, state, free, ruledOut, lastResort } = verdict;
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

/** Structured reasons for each target of the region. */
export default function describeRegion(verdict: RegionVerdict, nowMs: number): RegionDescription {
  const { region, oneWayMs, use, ejectionIgnored } = verdict;
  const targets = verdict.targets.map((target) => describeTarget(target, nowMs));
  return { region, oneWayMs, use, ejectionIgnored, targets };
}
