/**
 * What a new plan changes, for the audit trail.
 */
import type RegionPlan from '../RegionPlan.js';

/** Phrases given in full. */
const MAX_PHRASES = 8;

function sumBy(plan: RegionPlan | undefined, part: 'shares' | 'held'): Map<string, number> {
  const rows = plan?.rows ?? [];
  return new Map(rows.map((row) => [row.address, row[part].reduce((sum, n) => sum + n, 0)]));
}

function isSame(before: RegionPlan, after: RegionPlan): boolean {
  const strip = (plan: RegionPlan): string =>
    JSON.stringify({ ...plan, configurationRevision: 0, epoch: 0 });
  return strip(before) === strip(after);
}

/** A phrase for each entry VM whose slots change, a few at most; empty where nothing changes. */
export default function describePlanChange(
  before: RegionPlan | undefined,
  after: RegionPlan,
): readonly string[] {
  if (before !== undefined && isSame(before, after)) {
    return [];
  }
  const shares = { before: sumBy(before, 'shares'), after: sumBy(after, 'shares') };
  const addresses = [...new Set([...shares.before.keys(), ...shares.after.keys()])].sort();
  const moved = addresses
    .filter((address) => shares.before.get(address) !== shares.after.get(address))
    .map(
      (address) =>
        `${address} ${shares.before.get(address) ?? 0} -> ${shares.after.get(address) ?? 0} slots`,
    );
  const left = moved.length - MAX_PHRASES;
  const phrases = left > 0 ? [...moved.slice(0, MAX_PHRASES), `and ${left} more`] : moved;
  return phrases.length > 0 ? phrases : ['slots exchanged or confirmed'];
}
