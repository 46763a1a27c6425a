/**
 * Reading of the system's own decisions.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import type Store from '@burdockcove/platform/Store';
import type AuditRecord from '@burdockcove/types/AuditRecord';
import type CtlFailure from '../errors/CtlFailure.js';
import toReadFailure from '../errors/toReadFailure.js';

const PREFIX = 'audit/';

function parseRecords(value: string): readonly AuditRecord[] {
  try {
    const parsed = JSON.parse(value) as AuditRecord | { readonly records: readonly AuditRecord[] };
    const records = 'records' in parsed ? parsed.records : [parsed];
    return records.filter(({ _tag }) => _tag === 'Decision');
  } catch {
    return [];
  }
}

/** Every decision that the ring still holds, in no order. */
export default async function readDecisions(
  store: Store,
): Promise<Either<CtlFailure, readonly AuditRecord[]>> {
  const listed = await store.listKeys(PREFIX)();
  return isLeft(listed)
    ? left(toReadFailure(listed.left))
    : right(listed.right.entries.flatMap(({ value }) => parseRecords(value)));
}
