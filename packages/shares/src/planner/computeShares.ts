/**
 * Target shares that a region's plan converges to.
 */
import type PlanInput from './PlanInput.js';
import type PlanTable from './PlanTable.js';

/** Intended share of each owner in one target. */
type TargetShares = ReadonlyMap<string, number>;

interface OwnerTotals {
  readonly totals: Map<string, number>;
  /** Slots that each owner should have over all targets, rounded up. */
  readonly quota: number;
}

/**
 * Shares of entry VMs that neither gain nor lose slots, scaled down evenly if they exceed the
 * target's slots.
 */
function computeRetainedShares(
  table: PlanTable,
  input: PlanInput,
  target: string,
  slots: number,
): TargetShares {
  const owners = new Set(input.owners.map((owner) => owner.address));
  const retaining = table
    .listAddresses()
    .filter((address) => !owners.has(address) && !input.leaving.has(address));
  const sum = retaining.reduce((total, address) => total + table.getShare(address, target), 0);
  const scale = sum > slots ? slots / sum : 1;
  return new Map(
    retaining.map((address) => [address, Math.floor(table.getShare(address, target) * scale)]),
  );
}

/**
 * Orders owners for the remaining slots: those below their quota first, then those that hold a slot
 * already, then those with the fewest slots.
 */
function compareOwners(
  table: PlanTable,
  target: string,
  base: number,
  { totals, quota }: OwnerTotals,
): (a: string, b: string) => number {
  const rankOverQuota = (address: string): number =>
    (totals.get(address) ?? 0) + base + 1 > quota ? 1 : 0;
  const rankHolder = (address: string): number => (table.getShare(address, target) > base ? 0 : 1);
  return (a, b) =>
    rankOverQuota(a) - rankOverQuota(b) ||
    rankHolder(a) - rankHolder(b) ||
    (totals.get(a) ?? 0) - (totals.get(b) ?? 0) ||
    (a < b ? -1 : 1);
}

function splitSlots(
  table: PlanTable,
  owners: readonly string[],
  target: string,
  slots: number,
  totals: OwnerTotals,
): TargetShares {
  const base = owners.length > 0 ? Math.floor(slots / owners.length) : 0;
  const remainder = owners.length > 0 ? slots - base * owners.length : 0;
  const rankedOwners = [...owners].sort(compareOwners(table, target, base, totals));
  const shares = rankedOwners.map((address, index): [string, number] => [
    address,
    index < remainder ? base + 1 : base,
  ]);
  shares.forEach(([address, share]) =>
    totals.totals.set(address, (totals.totals.get(address) ?? 0) + share),
  );
  return new Map(shares);
}

/** Returns equal shares for all owners by target, with few changes to the current plan. */
export default function computeShares(
  table: PlanTable,
  input: PlanInput,
): ReadonlyMap<string, TargetShares> {
  const owners = input.owners.map((owner) => owner.address);
  const retained = new Map(
    input.targets.map(({ name, slots }) => [
      name,
      computeRetainedShares(table, input, name, slots),
    ]),
  );
  const free = input.targets.map(({ name, slots }) => {
    const retaining = [...(retained.get(name)?.values() ?? [])];
    return { name, slots: slots - retaining.reduce((sum, share) => sum + share, 0) };
  });
  const sum = free.reduce((total, target) => total + target.slots, 0);
  const totals = { totals: new Map<string, number>(), quota: Math.ceil(sum / owners.length) };
  return new Map(
    free.map(({ name, slots }) => {
      const split = splitSlots(table, owners, name, slots, totals);
      return [name, new Map([...(retained.get(name) ?? []), ...split])];
    }),
  );
}
