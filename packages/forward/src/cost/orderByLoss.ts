/**
 * Orders the targets for a request by expected loss.
 *
 * Of the targets that are nearly alike, the object's own one comes first, or else the better one of the two that come first
 * in its order of preference. Objects, and requests without one, have different orders of preference, so VMs that see the
 * same idle target at once do not all send to it.
 */
import type RankedTarget from '../affinity/RankedTarget.js';
import computeLoss from './computeLoss.js';

/** Losses that differ by less are alike: the estimates are no better. */
const EQUAL_LOSS = 0.03;
/** The two compared targets change places only for a larger difference. */
const MIN_GAIN = 0.005;

interface Loss {
  readonly ranked: RankedTarget;
  readonly loss: number;
}

function computeEntry(ranked: RankedTarget): Loss {
  const { forecast } = ranked;
  return { ranked, loss: forecast === undefined ? Infinity : computeLoss({ ...ranked, forecast }) };
}

/** Whether the object is expected at the target by more than this VM's need of the moment. */
function isHome({ rank, isWarm, objectKey }: RankedTarget): boolean {
  return objectKey !== undefined && (rank === 0 || isWarm);
}

/** Returns the entry that comes first among those nearly alike, which are sorted by loss. */
function selectFirst(alike: readonly Loss[]): Loss | undefined {
  const home = alike.find(({ ranked }) => isHome(ranked));
  if (home !== undefined) {
    return home;
  }
  const [first, second] = [...alike].sort((a, b) => a.ranked.rank - b.ranked.rank);
  const isSecondBetter =
    first !== undefined && second !== undefined && first.loss - second.loss > MIN_GAIN;
  return isSecondBetter ? second : first;
}

/** Returns the targets with the least loss first; targets without a forecast come last. */
export default function orderByLoss(candidates: readonly RankedTarget[]): readonly RankedTarget[] {
  const sorted = candidates
    .map(computeEntry)
    .sort((a, b) => a.loss - b.loss || a.ranked.rank - b.ranked.rank);
  const leastLoss = sorted[0]?.loss ?? Infinity;
  const alike = sorted.filter(({ loss }) => loss - leastLoss < EQUAL_LOSS);
  const selected = selectFirst(alike)?.ranked;
  const ordered = sorted.map(({ ranked }) => ranked);
  return selected === undefined
    ? ordered
    : [selected, ...ordered.filter((ranked) => ranked !== selected)];
}
