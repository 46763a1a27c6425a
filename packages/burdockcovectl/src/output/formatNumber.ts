/**
 * Amounts for reading.
 */

const DIGITS = 1;

/** At most one digit after the point. */
export default function formatNumber(value: number): string {
  return String(Number(value.toFixed(DIGITS)));
}
