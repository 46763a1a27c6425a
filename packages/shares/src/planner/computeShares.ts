/**
 * The shares that a region's plan is moving towards.
 */
import type PlanInput from './PlanInput.js';
import type PlanTable from './PlanTable.js';

/** Wanted share of each owner at one target. */
type TargetShares = ReadonlyMap<string, number>;

interface OwnerTotals {
  readonly totals: Map<string, number>;
  /** Slots that each owner is to have over all targets, rounded up. */
  readonly quota: number;
}

/** Slots that owners who are neither to gain nor to lose keep, lowered evenly where they exceed the target's. */
function computeKept(
  table: PlanTable,
  input: PlanInput,
  target: string,
  slots: number,
): TargetShares {
  const owners = new Set(input.owners.map((owner) => owner.address));
  const silent = table
    .listAddresses()
    .filter((address) => !owners.has(address) && !input.leaving.has(address));
  const sum = silent.reduce((total, address) => total + table.getShare(address, target), 0);
  const scale = sum > slots ? slots / sum : 1;
  return new Map(
    silent.map((address) => [address, Math.floor(table.getShare(address, target) * scale)]),
  );
}

/** Those to have one slot more: below their quota first, then present holders, then those with the fewest. */
function compareOwners(
  table: PlanTable,
  target: string,
  base: number,
  { totals, quota }: OwnerTotals,
): (a: string, b: string) => number {
  const isOver = (address: string): number =>
    (totals.get(address) ?? 0) + base + 1 > quota ? 1 : 0;
  const isHolder = (address: string): number => (table.getShare(address, target) > base ? 0 : 1);
  return (a, b) =>
    isOver(a) - isOver(b) ||
    isHolder(a) - isHolder(b) ||
    (totals.get(a) ?? 0) - (totals.get(b) ?? 0) ||
    (a < b ? -1 : 1);
}

function splitTarget(
  table: PlanTable,
  owners: readonly string[],
  target: string,
  slots: number,
  totals: OwnerTotals,
): TargetShares {
  const base = owners.length > 0 ? Math.floor(slots / owners.length) : 0;
  const extra = owners.length > 0 ? slots - base * owners.length : 0;
  const ranked = [...owners].sort(compareOwners(table, target, base, totals));
  const shares = ranked.map((address, index): [string, number] => [
    address,
    index < extra ? base + 1 : base,
  ]);
  shares.forEach(([address, share]) =>
    totals.totals.set(address, (totals.totals.get(address) ?? 0) + share),
  );
  return new Map(shares);
}

/** Equal shares for all owners with few moves, by target. */
export default function computeShares(
  table: PlanTable,
  input: PlanInput,
): ReadonlyMap<string, TargetShares> {
  const owners = input.owners.map((owner) => owner.address);
  const kept = new Map(
    input.targets.map(({ name, slots }) => [name, computeKept(table, input, name, slots)]),
  );
  const free = input.targets.map(({ name, slots }) => {
    const silent = [...(kept.get(name)?.values() ?? [])];
    return { name, slots: slots - silent.reduce((sum, share) => sum + share, 0) };
  });
  const sum = free.reduce((total, target) => total + target.slots, 0);
  const totals = { totals: new Map<string, number>(), quota: Math.ceil(sum / owners.length) };
  return new Map(
    free.map(({ name, slots }) => {
      const split = splitTarget(table, owners, name, slots, totals);
      return [name, new Map([...(kept.get(name) ?? []), ...split])];
    }),
  );
}
