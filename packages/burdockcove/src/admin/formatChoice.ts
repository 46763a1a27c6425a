/**
 * What the choice knows of targets, in words.
 */
import type ChoiceDescription from '@burdockcove/forward/choice/ChoiceDescription';

type RegionDescription = ChoiceDescription['regions'][number];
type TargetDescription = RegionDescription['targets'][number];

const PERCENT = 100;

function formatTarget(each: TargetDescription): string {
  const evidence = [
    `${each.used} in flight from here`,
    `${each.free} slots free for here`,
    each.latencyMs === null ? 'no latency known' : `median ${Math.round(each.latencyMs)} ms`,
    each.reportAgeMs === null
      ? 'no load report'
      : `load report ${Math.round(each.reportAgeMs)} ms old`,
    ...(each.condition === 'healthy' ? [] : [each.condition]),
    ...(each.slowStartShare < 1
      ? [`slow start at ${Math.round(each.slowStartShare * PERCENT)}%`]
      : []),
  ];
  const standing = each.ruledOut === null ? 'may serve' : `is ruled out (${each.ruledOut})`;
  return `Target ${each.target} ${standing}: ${evidence.join(', ')}.`;
}

function formatRegion({ region, use, ejectionIgnored, targets }: RegionDescription) {
  const ignored = ejectionIgnored
    ? '; too many targets look sick, so that is not held against them'
    : '';
  const share = Math.round(use * PERCENT);
  return [
    `Region ${region}: ${share}% of the slots for here in use${ignored}.`,
    ...targets.map(formatTarget),
  ];
}

/** One sentence a line: the queue, then regions with their targets. */
export default function formatChoice(choice: ChoiceDescription): readonly string[] {
  return [
    `Objective ${choice.objective}; ${choice.waiting} requests wait here for a slot.`,
    ...choice.regions.flatMap(formatRegion),
  ];
}
