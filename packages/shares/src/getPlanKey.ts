/**
 * Where plans are kept.
 */

/** Key of the region's plan under the store's prefix. */
export default function getPlanKey(region: string): string {
  return `state/plan/${region}`;
}
