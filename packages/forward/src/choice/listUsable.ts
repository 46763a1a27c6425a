/**
 * The targets that may be used, by preference.
 */
import type RegionVerdict from './RegionVerdict.js';
import type RuledOutReason from './RuledOutReason.js';
import type TargetVerdict from './TargetVerdict.js';

/** Reasons that waiting does not mend soon. */
const LASTING: readonly RuledOutReason[] = ['leaving', 'draining', 'ejected'];

/** Targets that count as equally good, before one is chosen of them. */
interface UsableGroup {
  readonly region: string;
  readonly targets: readonly TargetVerdict[];
}

function isLasting({ ruledOut }: TargetVerdict): boolean {
  return ruledOut !== null && LASTING.includes(ruledOut);
}

function listGroup(
  regions: readonly RegionVerdict[],
  isWanted: (verdict: TargetVerdict) => boolean,
): readonly UsableGroup[] {
  return regions
    .map(({ region, targets }) => ({
      region,
      targets: targets.filter((verdict) => verdict.ruledOut === null && isWanted(verdict)),
    }))
    .filter(({ targets }) => targets.length > 0);
}

/** In each region's order first the good targets, then those of last resort; tried ones only when all were tried. */
export default function listUsable(
  regions: readonly RegionVerdict[],
  tried: readonly string[],
): readonly UsableGroup[] {
  const isTried = ({ target }: TargetVerdict): boolean => tried.includes(target.name);
  const hasUntried = regions.some(({ targets }) =>
    targets.some((verdict) => !isTried(verdict) && !isLasting(verdict)),
  );
  const good = listGroup(regions, (verdict) => !verdict.lastResort);
  const lastResort = listGroup(
    regions,
    (verdict) => verdict.lastResort && !(hasUntried && isTried(verdict)),
  );
  return [...good, ...lastResort];
}
