/**
 * Reading of shift records.
 */
import { isLeft, right, type Either } from 'fp-ts/lib/Either.js';
import { isSome } from 'fp-ts/lib/Option.js';
import type Store from '@burdockcove/store/Store';
import computeRoutes from '@burdockcove/shares/shift/computeRoutes';
import getShiftKey from '@burdockcove/shares/shift/getShiftKey';
import parseShiftRecord from '@burdockcove/shares/shift/parseShiftRecord';
import type StoreError from '@burdockcove/types/StoreError';
import type ShiftStatus from './ShiftStatus.js';

/** One status a readable record, in order of the selectors' names. */
export default async function readShiftStatuses(
  store: Store,
): Promise<Either<StoreError, readonly ShiftStatus[]>> {
  const listed = await store.listKeys(getShiftKey(''))();
  if (isLeft(listed)) {
    return listed;
  }
  const statuses = listed.right.entries.flatMap((entry): ShiftStatus[] => {
    const record = parseShiftRecord(entry.value);
    if (!isSome(record)) {
      return [];
    }
    const { selector, status, direction, position, reason, updatedAt, epoch } = record.value;
    const { from, to, ordered } = record.value;
    const inForce = computeRoutes(from, to, position);
    return [{ selector, status, direction, position, reason, updatedAt, epoch, inForce, ordered }];
  });
  return right(statuses);
}
