/**
 * The targets as the VM list shows them.
 */
import type Vm from '@burdockcove/types/Vm';

/** A list that lacks more than this share of the targets known before is taken for faulty. */
const MAX_MISSING_SHARE = 0.5;

function isSameSet(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return a.size === b.size && [...a].every((item) => b.has(item));
}

/** A target that was listed and no longer is counts as leaving, unless most of them went at once. */
export default class TargetList {
  private known: ReadonlySet<string> = new Set();

  private leaving: ReadonlySet<string> = new Set();

  /** Takes in the target VMs of a list; returns whether an answer of `isLeaving` may have changed. */
  applyList(vms: readonly Vm[]): boolean {
    const listed = new Set(vms.map(({ address }) => address));
    const missing = [...this.known].filter((address) => !listed.has(address));
    const faulty = missing.length > this.known.size * MAX_MISSING_SHARE;
    const marked = vms.filter(({ state }) => state === 'leaving').map(({ address }) => address);
    const kept = [...this.leaving].filter((address) => !listed.has(address));
    const leaving = new Set([...marked, ...kept, ...(faulty ? [] : missing)]);
    const changed = !isSameSet(leaving, this.leaving);
    this.leaving = leaving;
    this.known = new Set([...listed, ...this.known]);
    return changed;
  }

  isLeaving(address: string): boolean {
    return this.leaving.has(address);
  }
}
