/**
 * Serialization of region plans for the store.
 */
import type RegionPlan from './RegionPlan.js';

/** Returns JSON in which a row omits `held` if it equals `shares`. */
export default function encodeRegionPlan(plan: RegionPlan): string {
  const rows = plan.rows.map(({ held, ...row }) =>
    held.some((slots, index) => slots !== row.shares[index]) ? { ...row, held } : row,
  );
  return JSON.stringify({ ...plan, rows });
}
