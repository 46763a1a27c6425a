/**
 * Reading of log lines.
 */
import type LogRecord from './LogRecord.js';

/** Undefined for a line that is no record; text before the record, such as a VM's name, is passed over. */
export default function parseLogLine(line: string): LogRecord | undefined {
  const start = line.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  try {
    const record = JSON.parse(line.slice(start)) as Partial<LogRecord>;
    return typeof record.message === 'string' ? (record as LogRecord) : undefined;
  } catch {
    // A line that was cut off, or one of another program: no record of ours.
    return undefined;
  }
}
