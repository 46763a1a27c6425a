/**
 * Grouping of targets by their service.
 */
import type KnownTarget from './KnownTarget.js';

/** Keeps the order of the targets within each service. */
export default function groupByService(
  targets: readonly KnownTarget[],
): Map<string, KnownTarget[]> {
  const groups = new Map<string, KnownTarget[]>();
  targets.forEach((known) => {
    const { service } = known.target;
    const others = groups.get(service);
    if (others === undefined) {
      groups.set(service, [known]);
    } else {
      others.push(known);
    }
  });
  return groups;
}
