/**
 * Descriptions of plan changes for the audit log.
 */
import type RegionPlan from '../RegionPlan.js';

/** Entry VMs listed individually; the rest are only counted. */
const MAX_DESCRIBED_VMS = 8;

function sumBy(plan: RegionPlan | undefined, column: 'shares' | 'held'): Map<string, number> {
  const rows = plan?.rows ?? [];
  return new Map(rows.map((row) => [row.address, row[column].reduce((sum, n) => sum + n, 0)]));
}

function isSame(before: RegionPlan, after: RegionPlan): boolean {
  const serialize = (plan: RegionPlan): string =>
    JSON.stringify({ ...plan, configurationRevision: 0, epoch: 0 });
  return serialize(before) === serialize(after);
}

/**
 * Returns a description for each entry VM whose number of slots changes, up to a limit; empty if
 * the plan is unchanged.
 */
export default function describePlanChange(
  before: RegionPlan | undefined,
  after: RegionPlan,
): readonly string[] {
  if (before !== undefined && isSame(before, after)) {
    return [];
  }
  const shares = { before: sumBy(before, 'shares'), after: sumBy(after, 'shares') };
  const addresses = [...new Set([...shares.before.keys(), ...shares.after.keys()])].sort();
  const changes = addresses
    .filter((address) => shares.before.get(address) !== shares.after.get(address))
    .map(
      (address) =>
        `${address} ${shares.before.get(address) ?? 0} -> ${shares.after.get(address) ?? 0} slots`,
    );
  const omitted = changes.length - MAX_DESCRIBED_VMS;
  const descriptions =
    omitted > 0 ? [...changes.slice(0, MAX_DESCRIBED_VMS), `and ${omitted} more`] : changes;
  return descriptions.length > 0 ? descriptions : ['slots exchanged or confirmed'];
}
