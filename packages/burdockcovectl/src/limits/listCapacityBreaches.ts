/**
 * Changes that would push regions or links past what they carry.
 */
import type Configuration from '@burdockcove/types/Configuration';
import formatNumber from '../output/formatNumber.js';
import type Demand from './Demand.js';
import type LimitBreach from './LimitBreach.js';
import placeDemand from './placeDemand.js';
import type Placement from './Placement.js';

const ROUNDING = 1e-6;
function sumLinks(placements: readonly Placement[]): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  placements.forEach(({ links }) => {
    links.forEach((megabits, key) => sums.set(key, (sums.get(key) ?? 0) + megabits));
  });
  return sums;
}

function listLinkBreaches(
  after: Configuration,
  was: ReadonlyMap<string, number>,
  is: ReadonlyMap<string, number>,
): readonly LimitBreach[] {
  return after.links.flatMap(({ between: [one, other], megabitsPerSecond }) =>
    [`${one}>${other}`, `${other}>${one}`].flatMap((key): LimitBreach[] => {
      const before = was.get(key) ?? 0;
      const megabits = is.get(key) ?? 0;
      const [from, to] = key.split('>');
      const detail =
        `${formatNumber(megabits)} Mbit/s of answers from ${from} to ${to} ` +
        `(now ${formatNumber(before)}), and the link carries ${megabitsPerSecond}`;
      return megabits > megabitsPerSecond + ROUNDING && megabits > before + ROUNDING
        ? [{ limit: 'link', object: `link ${one} - ${other}`, detail }]
        : [];
    }),
  );
}

/** Judged on the given demand; a breach that the change does not make worse is left alone. */
export default function listCapacityBreaches(
  before: Configuration | undefined,
  after: Configuration,
  demand: readonly Demand[],
): readonly LimitBreach[] {
  const services = after.services.map(({ name }) => name);
  const was = services.map((name) => placeDemand(before ?? after, name, demand));
  const is = services.map((name) => placeDemand(after, name, demand));
  const slots = services.flatMap((service, index): LimitBreach[] => {
    const unplaced = is[index]?.unplaced ?? 0;
    const earlier = before === undefined ? 0 : (was[index]?.unplaced ?? 0);
    const total = demand
      .filter((each) => each.service === service)
      .reduce((sum, { inFlight }) => sum + inFlight, 0);
    const regions = [...(is[index]?.byRegion ?? [])].map(
      ([region, amount]) => `${region} ${formatNumber(amount)}`,
    );
    const detail =
      `of ${formatNumber(total)} requests at once, ${formatNumber(unplaced)} would find no slot ` +
      `that their routes allow (now ${formatNumber(earlier)}); placed: ${regions.join(', ') || 'none'}`;
    return unplaced > earlier + ROUNDING
      ? [{ limit: 'slots', object: `service ${service}`, detail }]
      : [];
  });
  return [
    ...slots,
    ...listLinkBreaches(after, before === undefined ? new Map() : sumLinks(was), sumLinks(is)),
  ];
}
