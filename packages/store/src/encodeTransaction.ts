/**
 * Encoding of transactions for the gateway.
 */
import encodeBase64 from './encodeBase64.js';
import type StoreTransaction from './StoreTransaction.js';

/** Encodes compares of modification revisions, followed by all puts and deletes. */
export default function encodeTransaction(prefix: string, transaction: StoreTransaction): unknown {
  const encodeKey = (key: string): string => encodeBase64(`${prefix}${key}`);
  const puts = transaction.puts.map(({ key, value, leaseId }) => ({
    request_put: {
      key: encodeKey(key),
      value: encodeBase64(value),
      ...(leaseId === undefined ? {} : { lease: leaseId }),
    },
  }));
  const deletes = transaction.deletes.map((key) => ({
    request_delete_range: { key: encodeKey(key) },
  }));
  const compare = transaction.compares.map(({ key, revision }) => ({
    key: encodeKey(key),
    target: 'MOD',
    result: 'EQUAL',
    mod_revision: String(revision),
  }));
  return { compare, success: [...puts, ...deletes] };
}
