/**
 * Order of the records of one entry VM.
 */
import type MemberHealth from './MemberHealth.js';
import type MemberRecord from './MemberRecord.js';

const RANKS: Readonly<Record<MemberHealth, number>> = { alive: 0, suspect: 1, unreachable: 2 };

/** True where the first record replaces the second. */
export default function isNewerRecord(record: MemberRecord, known: MemberRecord): boolean {
  return record.incarnation === known.incarnation
    ? RANKS[record.health] > RANKS[known.health]
    : record.incarnation > known.incarnation;
}
