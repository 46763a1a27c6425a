/**
 * Store keys of region plans.
 */

/** Returns the key of the region's plan, relative to the store's prefix. */
export default function getPlanKey(region: string): string {
  return `state/plan/${region}`;
}
