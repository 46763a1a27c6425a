/**
 * Ranks entry VMs for the clients of one region.
 */
import type Member from '@burdockcove/types/Member';
import type CompiledSteering from './CompiledSteering.js';
import type EntryTier from './EntryTier.js';
import interleaveByDomain from './interleaveByDomain.js';

/** A share of a service's traffic and the regions that may serve it. */
interface Destination {
  readonly share: number;
  readonly regions: readonly string[];
}

/** Cost of using a region's entry VMs; lower is better. */
interface RegionCost {
  readonly region: string;
  /** Expected one-way delay from the client through the entry VM to a target, in milliseconds. */
  readonly delayMs: number;
  /** Share of the traffic that the entry VM would send over links to other regions. */
  readonly linkShare: number;
}

/** Delay assumed between regions without a link, so that they rank last. */
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
 * Groups the members by region, in order of expected delay; of regions with equal delay, those that
 * send less traffic over links come first. Regions that are equal in both form one tier.
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
