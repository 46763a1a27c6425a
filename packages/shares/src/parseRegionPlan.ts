/**
 * Parsing of region plans from the store.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js';
import type PlanRow from './PlanRow.js';
import type RegionPlan from './RegionPlan.js';

type StoredRow = Omit<PlanRow, 'held'> & Partial<Pick<PlanRow, 'held'>>;

type StoredPlan = Omit<RegionPlan, 'rows'> & { readonly rows: readonly StoredRow[] };

/** Returns none if the value is malformed or has an unknown major version. */
export default function parseRegionPlan(value: string): Option<RegionPlan> {
  try {
    const stored = JSON.parse(value) as StoredPlan;
    if (stored.version !== 1 || !Array.isArray(stored.rows)) {
      return none;
    }
    const rows = stored.rows.map((row) => ({ ...row, held: row.held ?? row.shares }));
    return some({ ...stored, rows });
  } catch {
    return none;
  }
}
