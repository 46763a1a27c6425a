/**
 * Counts by reason.
 */

/** Returns how often each reason occurs. */
export default function tallyReasons<Reason extends string>(
  reasons: readonly Reason[],
): Readonly<Partial<Record<Reason, number>>> {
  const counts: Partial<Record<Reason, number>> = {};
  reasons.forEach((reason) => {
    counts[reason] = (counts[reason] ?? 0) + 1;
  });
  return counts;
}
