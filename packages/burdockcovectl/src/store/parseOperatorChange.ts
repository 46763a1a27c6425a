/**
 * Reading of history records.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js';
import type OperatorChange from './OperatorChange.js';

/** None where the value is malformed or has an unknown version. */
export default function parseOperatorChange(value: string): Option<OperatorChange> {
  try {
    const record = JSON.parse(value) as OperatorChange & { readonly version: number };
    const known = record.version === 1 && record._tag === 'OperatorChange';
    return known && Array.isArray(record.changes) ? some(record) : none;
  } catch {
    return none;
  }
}
