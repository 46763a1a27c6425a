/**
 * Even split of slots between entry VMs.
 */
import type Target from '@burdockcove/types/Target';

/** Slots by target for each VM; the VM that goes without a slot of a target changes from target to target. */
export default function splitSlots(
  targets: readonly Target[],
  vms: number,
): readonly ReadonlyMap<string, number>[] {
  const shares = Array.from({ length: vms }, () => new Map<string, number>());
  targets.forEach(({ name, slots }, index) => {
    const first = index + Math.floor(index / vms);
    Array.from({ length: slots }).forEach((_, slot) => {
      const share = shares[(first + slot) % vms] as Map<string, number>;
      share.set(name, (share.get(name) ?? 0) + 1);
    });
  });
  return shares;
}
