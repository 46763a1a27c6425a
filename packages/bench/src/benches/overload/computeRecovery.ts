/**
 * Time to recover after an overload.
 */

/** Share of a second's requests that must be answered in time. */
const RECOVERED_SHARE = 0.99;

/** Seconds from `endSecond` until each second to come has recovered; the whole rest of the run where none has. */
export default function computeRecovery(
  due: readonly number[],
  answered: readonly number[],
  endSecond: number,
): number {
  const isBad = due.map((count, second) => (answered[second] ?? 0) < count * RECOVERED_SHARE);
  const lastBad = isBad.lastIndexOf(true);
  return Math.max(0, lastBad + 1 - endSecond);
}
