/**
 * Shares for reading.
 */

const PERCENT = 100;

/** `0.125` becomes `12.5%`. */
export default function formatPercent(share: number): string {
  return `${Number((share * PERCENT).toFixed(1))}%`;
}
