/**
 * Reading of the audit trail.
 */
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type Store from '@burdockcove/store/Store';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type AuditRecord from '@burdockcove/types/AuditRecord';
import type StoreError from '@burdockcove/types/StoreError';
import AUDIT_HEAD_KEY from './AUDIT_HEAD_KEY.js';
import type AuditBatch from './AuditBatch.js';

/** A batch of a newer version is passed over, as is a value that is no JSON. */
function parseBatch({ value }: StoreEntry): readonly AuditBatch[] {
  try {
    const batch = JSON.parse(value) as AuditBatch;
    return batch.version === 1 && Array.isArray(batch.records) ? [batch] : [];
  } catch {
    return [];
  }
}

function listRecords(entries: readonly StoreEntry[]): readonly AuditRecord[] {
  const batches = entries
    .filter(({ key }) => key !== AUDIT_HEAD_KEY)
    .flatMap(parseBatch)
    .sort((a, b) => a.sequence - b.sequence);
  const first = new Map(batches.toReversed().map((batch) => [batch.id, batch.sequence]));
  return batches
    .filter(({ id, sequence }) => first.get(id) === sequence)
    .flatMap(({ records }) => records);
}

/** All decisions still kept, oldest first, each once. */
export default function readAuditTrail(
  store: Store,
): TaskEither<StoreError, readonly AuditRecord[]> {
  return TE.map(({ entries }: { readonly entries: readonly StoreEntry[] }) => listRecords(entries))(
    store.listKeys('audit/'),
  );
}
