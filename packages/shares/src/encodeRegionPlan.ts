/**
 * The stored form of a plan.
 */
import type RegionPlan from './RegionPlan.js';

/** JSON in which `held` is left out of rows where it equals `shares`. */
export default function encodeRegionPlan(plan: RegionPlan): string {
  const rows = plan.rows.map(({ held, ...row }) =>
    held.some((slots, index) => slots !== row.shares[index]) ? { ...row, held } : row,
  );
  return JSON.stringify({ ...plan, rows });
}
