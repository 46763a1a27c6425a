/**
 * Placing of demand on the targets that a configuration would let it use.
 */
import type LabelledTarget from '@burdockcove/steering/LabelledTarget';
import RegionDelays from '@burdockcove/steering/RegionDelays';
import type Configuration from '@burdockcove/types/Configuration';
import CapacityBook from './CapacityBook.js';
import type Demand from './Demand.js';
import listShares from './listShares.js';
import listUsableTargets from './listUsableTargets.js';
import type Placement from './Placement.js';

const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1_000_000;

function add(sums: Map<string, number>, key: string, amount: number): void {
  sums.set(key, (sums.get(key) ?? 0) + amount);
}

/** Regions of the targets that a link reaches, nearest first. */
function listRegions(
  targets: readonly LabelledTarget[],
  from: string,
  delays: RegionDelays,
): readonly string[] {
  return [...new Set(targets.map(({ region }) => region))]
    .sort()
    .filter((region) => delays.getOneWayMs(from, region) < Infinity)
    .sort((one, other) => delays.getOneWayMs(from, one) - delays.getOneWayMs(from, other));
}

/** Each part goes to the nearest region first, and on to others where the selector lets it overflow. */
export default function placeDemand(
  configuration: Configuration,
  service: string,
  demand: readonly Demand[],
): Placement {
  const usable = listUsableTargets(configuration, service);
  const delays = new RegionDelays(configuration.links);
  const book = new CapacityBook(configuration, service);
  const bytes =
    configuration.services.find(({ name }) => name === service)?.expectedAnswerBytes ?? 0;
  const byRegion = new Map<string, number>();
  const links = new Map<string, number>();
  let unplaced = 0;
  demand
    .filter((each) => each.service === service)
    .forEach(({ region: from, inFlight, perSecond }) => {
      const { selector, routes } = listShares(configuration, service, from, usable);
      unplaced += routes.length === 0 ? inFlight : 0;
      routes.forEach(({ share, targets }) => {
        const regions = listRegions(targets, from, delays);
        const open = selector?.overflow === false ? regions.slice(0, 1) : regions;
        let left = inFlight * share;
        open.forEach((region) => {
          const there = targets.filter((each) => each.region === region);
          const taken = book.take(region, there, left);
          left -= taken;
          add(byRegion, region, taken);
          if (region !== from && inFlight > 0) {
            const bits = (taken / inFlight) * perSecond * bytes * BITS_PER_BYTE;
            add(links, `${region}>${from}`, bits / BITS_PER_MEGABIT);
          }
        });
        unplaced += left;
      });
    });
  return { byRegion, unplaced, links };
}
