/**
 * Faults for reading.
 */
import type Fault from './Fault.js';

/** One line a fault: file, line, column, what was found, what is expected. */
export default function formatFaults(faults: readonly Fault[]): string {
  return faults
    .map(
      ({ file, line, column, found, expected }) =>
        `${file}:${line}:${column}: found ${found}, expected ${expected}`,
    )
    .join('\n');
}
