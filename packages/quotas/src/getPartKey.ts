/**
 * Name of a part, by which its owner is chosen.
 */

/**
 * The same on all VMs, also on those with another number of parts in their configuration, so that the owner of a part
 * does not change with the quota. All customers share the owner of a part other than the first, so that one call serves
 * them all.
 */
export default function getPartKey(customer: string, part: number): string {
  return part === 0 ? `quota 0 ${customer}` : `quota ${part}`;
}
