/**
 * Account of changes that came between.
 */
import type OperatorChange from '../store/OperatorChange.js';

/** Who, when and why, then each difference. */
export default function describeBetween(changes: readonly OperatorChange[]): readonly string[] {
  return changes.flatMap(({ revision, operator, at, reason, changes: lines }) => [
    `revision ${revision} by ${operator} at ${at}: ${reason}`,
    ...lines.map((line) => `  ${line}`),
  ]);
}
