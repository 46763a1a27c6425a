/**
 * Merging of several VMs' logs.
 */
import type LogRecord from './LogRecord.js';

interface Cursor {
  readonly records: readonly LogRecord[];
  next: number;
}

function getTime({ records, next }: Cursor): string {
  return records[next]?.time ?? '';
}

/** In order of time; the lines of one VM keep their order, whatever its clock did. */
export default function mergeLogs(logs: readonly (readonly LogRecord[])[]): readonly LogRecord[] {
  const cursors: Cursor[] = logs.map((records) => ({ records, next: 0 }));
  const merged: LogRecord[] = [];
  for (;;) {
    const open = cursors.filter(({ records, next }) => next < records.length);
    const [first] = open.sort((a, b) => getTime(a).localeCompare(getTime(b)));
    const record = first?.records[first.next];
    if (first === undefined || record === undefined) {
      return merged;
    }
    merged.push(record);
    first.next += 1;
  }
}
