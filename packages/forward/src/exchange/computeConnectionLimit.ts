/**
 * An entry VM's share of the connections that a target accepts.
 */

/** Returns at least one, so that every entry VM can reach the target. */
export default function computeConnectionLimit(
  connectionsPerTarget: number,
  maxEntryVms: number,
): number {
  return Math.max(1, Math.floor(connectionsPerTarget / Math.max(1, maxEntryVms)));
}
