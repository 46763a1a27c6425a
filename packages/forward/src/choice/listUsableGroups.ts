/**
 * Lists the usable targets in order of preference.
 */
import type RegionEvaluation from './RegionEvaluation.js';
import type RuledOutReason from './RuledOutReason.js';
import type TargetEvaluation from './TargetEvaluation.js';

/** Reasons that will not go away soon. */
const LASTING_REASONS: readonly RuledOutReason[] = ['leaving', 'draining', 'ejected'];

/** Targets of equal preference, one of which is picked by its score. */
interface UsableGroup {
  readonly region: string;
  readonly targets: readonly TargetEvaluation[];
}

function isLasting({ ruledOut }: TargetEvaluation): boolean {
  return ruledOut !== null && LASTING_REASONS.includes(ruledOut);
}

function listGroups(
  regions: readonly RegionEvaluation[],
  isIncluded: (evaluation: TargetEvaluation) => boolean,
): readonly UsableGroup[] {
  return regions
    .map(({ region, targets }) => ({
      region,
      targets: targets.filter(
        (evaluation) => evaluation.ruledOut === null && isIncluded(evaluation),
      ),
    }))
    .filter(({ targets }) => targets.length > 0);
}

/**
 * Returns the preferred targets of all regions, then those of last resort, each in the order of the regions. Tried targets
 * of last resort are left out as long as an untried target may become usable.
 */
export default function listUsableGroups(
  regions: readonly RegionEvaluation[],
  tried: readonly string[],
): readonly UsableGroup[] {
  const isTried = ({ target }: TargetEvaluation): boolean => tried.includes(target.name);
  const hasUntried = regions.some(({ targets }) =>
    targets.some((evaluation) => !isTried(evaluation) && !isLasting(evaluation)),
  );
  const preferred = listGroups(regions, (evaluation) => !evaluation.lastResort);
  const lastResort = listGroups(
    regions,
    (evaluation) => evaluation.lastResort && !(hasUntried && isTried(evaluation)),
  );
  return [...preferred, ...lastResort];
}
