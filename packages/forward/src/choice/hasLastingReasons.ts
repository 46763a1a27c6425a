/**
 * Whether waiting for a target is of no use.
 */
import type RegionVerdict from './RegionVerdict.js';
import type RuledOutReason from './RuledOutReason.js';

const LASTING: readonly (RuledOutReason | null)[] = ['leaving', 'draining'];

/** True where every target of the plan takes no new work, or the plan has none. */
export default function hasLastingReasons(regions: readonly RegionVerdict[]): boolean {
  return regions.every(({ targets }) =>
    targets.every(({ ruledOut }) => LASTING.includes(ruledOut)),
  );
}
