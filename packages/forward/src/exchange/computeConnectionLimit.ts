/**
 * An entry VM's share of the connections that a target accepts.
 */

/** At least one, since a target that nobody may connect to serves nobody. */
export default function computeConnectionLimit(
  connectionsPerTarget: number,
  maxEntryVms: number,
): number {
  return Math.max(1, Math.floor(connectionsPerTarget / Math.max(1, maxEntryVms)));
}
