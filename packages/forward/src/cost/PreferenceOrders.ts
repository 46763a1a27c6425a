/**
 * Orders of preference of the recently requested objects, so that a request does not hash every target again.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import rankNumbers from '../affinity/rankNumbers.js';
import TargetSet from './TargetSet.js';

/** Limit on the targets in all kept orders together, of two bytes each; some 4,000 orders of 286 targets. */
const MAX_KEPT_TARGETS = 1_200_000;
/** Limit on the kept orders, each of which has some hundred bytes beside its targets. */
const MAX_ORDERS = 8192;
/** Target services whose set is kept; services are configured, so more are left over from earlier configurations. */
const MAX_SERVICES = 256;

interface Order {
  readonly set: TargetSet;
  readonly numbers: Uint16Array | Uint32Array;
}

/** Evicts the order that was added longest ago. */
export default class PreferenceOrders {
  private readonly sets = new Map<string, TargetSet>();

  private readonly orders = new Map<string, Order>();

  private keptTargets = 0;

  /** `getWeight` returns a target's relative share of objects, by its slots and region alone. */
  constructor(private readonly getWeight: (known: KnownTarget) => number) {}

  /** Returns the number of orders that are kept. */
  get size(): number {
    return this.orders.size;
  }

  /** Returns the targets in the object's order of preference that `isCandidate` accepts, at most `limit`. */
  listFirst(
    objectKey: string,
    targetService: string,
    usable: readonly KnownTarget[],
    isCandidate: (known: KnownTarget) => boolean,
    limit: number,
  ): readonly KnownTarget[] {
    const set = this.findSet(targetService, usable);
    const { numbers } = this.findOrder(`${targetService} ${objectKey}`, objectKey, set);
    const first: KnownTarget[] = [];
    for (let place = 0; place < numbers.length && first.length < limit; place += 1) {
      const known = set.getTarget(numbers[place] ?? 0);
      if (known !== undefined && isCandidate(known)) {
        first.push(known);
      }
    }
    return first;
  }

  private findSet(targetService: string, usable: readonly KnownTarget[]): TargetSet {
    const known = this.sets.get(targetService);
    if (known?.update(usable) === true) {
      return known;
    }
    if (this.sets.size >= MAX_SERVICES) {
      this.sets.clear();
    }
    const set = new TargetSet(usable);
    this.sets.set(targetService, set);
    return set;
  }

  private findOrder(key: string, objectKey: string, set: TargetSet): Order {
    const known = this.orders.get(key);
    if (known?.set === set) {
      return known;
    }
    const numbers = set.encode(rankNumbers(objectKey, set.listKnown(), this.getWeight));
    const order = { set, numbers };
    this.removeOrder(key);
    this.orders.set(key, order);
    this.keptTargets += numbers.length;
    this.evict();
    return order;
  }

  private evict(): void {
    while (this.keptTargets > MAX_KEPT_TARGETS || this.orders.size > MAX_ORDERS) {
      const [oldest] = this.orders.keys();
      if (oldest === undefined) {
        return;
      }
      this.removeOrder(oldest);
    }
  }

  private removeOrder(key: string): void {
    this.keptTargets -= this.orders.get(key)?.numbers.length ?? 0;
    this.orders.delete(key);
  }
}
