/**
 * Limits that a change would break.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type Demand from './Demand.js';
import type LimitBreach from './LimitBreach.js';
import listCapacityBreaches from './listCapacityBreaches.js';
import listCapBreaches from './listCapBreaches.js';
import listTargetBreaches from './listTargetBreaches.js';

/** The store holds values up to a megabyte. */
const MAX_VALUE_BYTES = 1_000_000;

function listSizeBreaches(after: Configuration): readonly LimitBreach[] {
  const bytes = Buffer.byteLength(JSON.stringify(after));
  const detail = `${bytes} bytes, and the store holds values of ${MAX_VALUE_BYTES}`;
  return bytes > MAX_VALUE_BYTES ? [{ limit: 'size', object: 'configuration', detail }] : [];
}

/** Empty where the change may be stored. */
export default function listBreaches(
  before: Configuration | undefined,
  after: Configuration,
  demand: readonly Demand[],
): readonly LimitBreach[] {
  return [
    ...listSizeBreaches(after),
    ...listTargetBreaches(before, after),
    ...(before === undefined ? [] : listCapBreaches(before, after)),
    ...listCapacityBreaches(before, after, demand),
  ];
}
