/**
 * Number of parts of a quota.
 */

const RATE_PER_PART = 100;
/** Each part holds at least one request whatever the burst, so the number of parts stays below the usual slack. */
const MAX_PARTS = 16;

/** Follows from the rate alone, so that all VMs with the same configuration agree. */
export default function countParts(ratePerS: number): number {
  return Math.min(MAX_PARTS, Math.max(1, Math.floor(ratePerS / RATE_PER_PART)));
}
