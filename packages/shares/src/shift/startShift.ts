/**
 * Starts a shift.
 */
import type Route from '@burdockcove/types/Route';
import type ShiftRecord from './ShiftRecord.js';
import computeRoutes from './computeRoutes.js';
import areRoutesEqual from './areRoutesEqual.js';

/**
 * Returns a record at position 0 of the move from the weights in force to `to`; writing it moves no
 * traffic.
 */
export default function startShift(record: ShiftRecord, to: readonly Route[]): ShiftRecord {
  const from = computeRoutes(record.from, record.to, record.position);
  const isUnchanged = areRoutesEqual(from, to);
  return {
    ...record,
    from,
    to,
    position: isUnchanged ? 1 : 0,
    status: isUnchanged ? 'done' : 'moving',
  };
}
