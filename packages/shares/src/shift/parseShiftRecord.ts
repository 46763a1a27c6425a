/**
 * Parsing of shift records from the store.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js';
import type ShiftRecord from './ShiftRecord.js';

/** Returns none if the value is malformed or has an unknown major version. */
export default function parseShiftRecord(value: string): Option<ShiftRecord> {
  try {
    const record = JSON.parse(value) as ShiftRecord;
    const isKnown = record.version === 1 && Array.isArray(record.from) && Array.isArray(record.to);
    return isKnown ? some(record) : none;
  } catch {
    return none;
  }
}
