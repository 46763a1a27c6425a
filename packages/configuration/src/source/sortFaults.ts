/**
 * Order of faults.
 */
import type Fault from '../Fault.js';

/** By line and column, each fault once. */
export default function sortFaults(faults: readonly Fault[]): readonly Fault[] {
  const unique = new Map(faults.map((fault) => [JSON.stringify(fault), fault]));
  return [...unique.values()].sort(
    (left, right) => left.line - right.line || left.column - right.column,
  );
}
