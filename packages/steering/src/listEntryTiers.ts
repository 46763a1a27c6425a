/**
 * Ordering of entry VMs for the clients of one region.
 */
import type Member from '@burdockcove/types/Member';
import type CompiledSteering from './CompiledSteering.js';
import type EntryTier from './EntryTier.js';
import interleaveByDomain from './interleaveByDomain.js';

/** A part of a service's traffic and the regions that may take it. */
interface Destination {
  readonly share: number;
  readonly regions: readonly string[];
}

/** How good a region's entry VMs are; lower is better. */
interface RegionCost {
  readonly region: string;
  /** Expected one-way delay from the client by the entry VM to a target, in milliseconds. */
  readonly delayMs: number;
  /** Share of the traffic that the entry VM would send over a link. */
  readonly linkShare: number;
}

/** Stands for a pair of regions without a link, so that they sort last, in milliseconds. */
const UNLINKED_DELAY_MS = 1_000_000;

function listDestinations(
  steering: CompiledSteering,
  service: string,
  clientRegion: string,
): readonly Destination[] {
  const weighted = steering.findSelector(service, clientRegion)?.getWeightedRoutes();
  if (weighted === undefined) {
    const regions = steering.listCandidates(service).map(({ region }) => region);
    return [{ share: 1, regions: [...new Set(regions)] }];
  }
  return weighted.routes.map((route, index) => ({
    share: weighted.computeShare(index),
    regions: route.regions.map(({ region }) => region),
  }));
}

function computeCost(
  steering: CompiledSteering,
  clientRegion: string,
  region: string,
  destinations: readonly Destination[],
): RegionCost {
  const { delays } = steering.index;
  const getDelay = (from: string, to: string): number =>
    Math.min(delays.getOneWayMs(from, to), UNLINKED_DELAY_MS);
  let delayMs = clientRegion === '' ? 0 : getDelay(clientRegion, region);
  let linkShare = 0;
  destinations
    .filter(({ share, regions }) => share > 0 && regions.length > 0)
    .forEach(({ share, regions }) => {
      delayMs += share * Math.min(...regions.map((each) => getDelay(region, each)));
      linkShare += regions.includes(region) ? 0 : share;
    });
  return { region, delayMs, linkShare };
}

function hasSameCost(left: RegionCost, right: RegionCost): boolean {
  return left.delayMs === right.delayMs && left.linkShare === right.linkShare;
}

/**
 * Groups the members by region, the region with the least expected delay first; of equal ones,
 * that which sends less over links. Regions that are equal in both form one tier.
 */
export default function listEntryTiers(
  steering: CompiledSteering,
  service: string,
  clientRegion: string,
  members: readonly Member[],
): readonly EntryTier[] {
  const destinations = listDestinations(steering, service, clientRegion);
  const costs = [...new Set(members.map(({ region }) => region))]
    .map((region) => computeCost(steering, clientRegion, region, destinations))
    .sort((left, right) => left.delayMs - right.delayMs || left.linkShare - right.linkShare);
  const groups: RegionCost[][] = [];
  costs.forEach((cost) => {
    const last = groups.at(-1);
    if (last?.[0] !== undefined && hasSameCost(last[0], cost)) {
      last.push(cost);
    } else {
      groups.push([cost]);
    }
  });
  return groups.map((group) => {
    const regions = new Set(group.map(({ region }) => region));
    return { members: interleaveByDomain(members.filter(({ region }) => regions.has(region))) };
  });
}
