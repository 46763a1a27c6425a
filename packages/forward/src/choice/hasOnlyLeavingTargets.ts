/**
 * Whether waiting for a target is pointless.
 */
import type RegionEvaluation from './RegionEvaluation.js';
import type RuledOutReason from './RuledOutReason.js';

const LEAVING_REASONS: readonly (RuledOutReason | null)[] = ['leaving', 'draining'];

/** True if every target of the plan is leaving or draining, or if the plan has no target. */
export default function hasOnlyLeavingTargets(regions: readonly RegionEvaluation[]): boolean {
  return regions.every(({ targets }) =>
    targets.every(({ ruledOut }) => LEAVING_REASONS.includes(ruledOut)),
  );
}
