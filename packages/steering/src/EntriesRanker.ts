/**
 * Responses to lookups of entry VMs (`GET /_burdockcove/entries`).
 *
 * Responses are serialized once for each service, client region and rotation, so a lookup costs
 * only a search in the client blocks, a hash and a map access.
 */
import { isNone, none, some, type Option } from 'fp-ts/lib/Option.js';
import type Membership from '@burdockcove/types/Membership';
import chooseEntries from './chooseEntries.js';
import type CompiledSelector from './CompiledSelector.js';
import type CompiledSteering from './CompiledSteering.js';
import type EntriesResponse from './EntriesResponse.js';
import type EntryTier from './EntryTier.js';
import hashClient from './hashClient.js';
import listEntryTiers from './listEntryTiers.js';
import type SteeringSource from './SteeringSource.js';
import type WeightedRoutes from './WeightedRoutes.js';

/**
 * Rotations cached for one service and client region; callers are spread evenly over a tier of up
 * to this many VMs.
 */
const MAX_ROTATIONS = 256;

/** Cached responses for the clients of one region. */
interface RegionResponses {
  readonly selector: CompiledSelector | undefined;
  /** The weights used to order the tiers. */
  readonly weightedRoutes: WeightedRoutes | undefined;
  readonly tiers: readonly EntryTier[];
  readonly rotations: number;
  readonly responses: (EntriesResponse | undefined)[];
}

/** Discards its responses whenever the steering, the membership or the weights in force change. */
export default class EntriesRanker {
  private readonly cache = new Map<string, RegionResponses>();

  private readonly unsubscribers: readonly (() => void)[];

  constructor(
    private readonly source: SteeringSource,
    private readonly membership: Membership,
  ) {
    const clearCache = (): void => this.cache.clear();
    this.unsubscribers = [source.subscribe(clearCache), membership.subscribe(clearCache)];
  }

  /**
   * Returns the response for a client, or none if the service is unknown or no configuration is in
   * force.
   */
  findResponse(service: string, client: string): Option<EntriesResponse> {
    const current = this.source.getCurrent();
    if (isNone(current) || isNone(current.value.index.services.findByName(service))) {
      return none;
    }
    const steering = current.value;
    const clientRegion = steering.index.clientBlocks.findRegion(client);
    const cached = this.getRegionResponses(steering, service, clientRegion);
    const rotation = hashClient(client) % cached.rotations;
    const response =
      cached.responses[rotation] ?? this.buildResponse(steering, cached.tiers, rotation);
    cached.responses[rotation] = response;
    return some(response);
  }

  /** Cancels the subscriptions. */
  close(): void {
    this.unsubscribers.forEach((unsubscribe) => unsubscribe());
  }

  private getRegionResponses(
    steering: CompiledSteering,
    service: string,
    clientRegion: string,
  ): RegionResponses {
    const key = `${service}>${clientRegion}`;
    const cached = this.cache.get(key);
    if (cached !== undefined && cached.selector?.getWeightedRoutes() === cached.weightedRoutes) {
      return cached;
    }
    const rebuilt = this.buildRegionResponses(steering, service, clientRegion);
    this.cache.set(key, rebuilt);
    return rebuilt;
  }

  private buildRegionResponses(
    steering: CompiledSteering,
    service: string,
    clientRegion: string,
  ): RegionResponses {
    const members = this.membership
      .getMembers()
      .filter(({ state, reachable }) => state === 'live' && reachable);
    const tiers = listEntryTiers(steering, service, clientRegion, members);
    const firstTierSize = tiers[0]?.members.length ?? 1;
    const rotations =
      firstTierSize * Math.max(2, 2 * Math.floor(MAX_ROTATIONS / (2 * firstTierSize)));
    const selector = steering.findSelector(service, clientRegion);
    return {
      selector,
      weightedRoutes: selector?.getWeightedRoutes(),
      tiers,
      rotations,
      responses: [],
    };
  }

  private buildResponse(
    steering: CompiledSteering,
    tiers: readonly EntryTier[],
    rotation: number,
  ): EntriesResponse {
    const maxAgeSeconds = steering.index.configuration.entriesMaxAgeSeconds;
    const entries = chooseEntries(tiers, rotation).map(({ address, region, failureDomain }) => ({
      address,
      region,
      failureDomain,
    }));
    const response = { revision: steering.revision, maxAgeSeconds, entries };
    return { body: Buffer.from(JSON.stringify(response)), maxAgeSeconds };
  }
}
