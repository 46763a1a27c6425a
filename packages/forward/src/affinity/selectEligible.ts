/**
 * Selects the targets that may take a request by the work that it costs there.
 */
import type RankedTarget from './RankedTarget.js';

/** A service is saturated when more than this share of its targets is full; a single full target is not enough. */
const SATURATED_SHARE = 0.15;

/** Whether the request costs little work at the target; on a saturated service, others keep to the preferred target. */
function isLikelyWarm({ rank, isWarm, objectKey }: RankedTarget): boolean {
  return isWarm || rank === 0 || objectKey === undefined;
}

/** `available` are those of the ranked targets that have capacity; the order stays. */
export default function selectEligible(
  ranked: readonly RankedTarget[],
  available: readonly RankedTarget[],
  canUseOtherTargets: boolean,
): readonly RankedTarget[] {
  const fullCount = ranked.length - available.length;
  const isSaturated = fullCount > Math.max(1, SATURATED_SHARE * ranked.length);
  return available.filter(
    (entry) => isLikelyWarm(entry) || (!isSaturated && (canUseOtherTargets || entry === ranked[0])),
  );
}
