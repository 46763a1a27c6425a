/**
 * Answers to look-ups of entry VMs (`GET /_burdockcove/entries`).
 *
 * Answers are serialised once for each service, client region and rotation, so that a look-up
 * costs a search in the client blocks, a hash and a map access.
 */
import { isNone, none, some, type Option } from 'fp-ts/lib/Option.js';
import type Membership from '@burdockcove/types/Membership';
import chooseEntries from './chooseEntries.js';
import type CompiledSelector from './CompiledSelector.js';
import type CompiledSteering from './CompiledSteering.js';
import type EntriesAnswer from './EntriesAnswer.js';
import type EntryTier from './EntryTier.js';
import hashClient from './hashClient.js';
import listEntryTiers from './listEntryTiers.js';
import type SteeringSource from './SteeringSource.js';
import type WeightedRoutes from './WeightedRoutes.js';

/** Rotations kept for one service and client region; a whole tier of this many VMs is spread evenly. */
const MAX_ROTATIONS = 256;

/** Answers for the clients of one region. */
interface RegionAnswers {
  readonly selector: CompiledSelector | undefined;
  /** The weights that the tiers were ordered by. */
  readonly weighted: WeightedRoutes | undefined;
  readonly tiers: readonly EntryTier[];
  readonly rotations: number;
  readonly answers: (EntriesAnswer | undefined)[];
}

/** Forgets its answers whenever the steering, the membership or the weights in force change. */
export default class EntriesRanker {
  private readonly cache = new Map<string, RegionAnswers>();

  private readonly stops: readonly (() => void)[];

  constructor(
    private readonly source: SteeringSource,
    private readonly membership: Membership,
  ) {
    const forget = (): void => this.cache.clear();
    this.stops = [source.subscribe(forget), membership.subscribe(forget)];
  }

  /** The answer for a client, or none where the service is unknown or no configuration is in force. */
  findAnswer(service: string, client: string): Option<EntriesAnswer> {
    const current = this.source.getCurrent();
    if (isNone(current) || isNone(current.value.index.services.findByName(service))) {
      return none;
    }
    const steering = current.value;
    const clientRegion = steering.index.clientBlocks.findRegion(client);
    const known = this.getRegionAnswers(steering, service, clientRegion);
    const rotation = hashClient(client) % known.rotations;
    const answer = known.answers[rotation] ?? this.buildAnswer(steering, known.tiers, rotation);
    known.answers[rotation] = answer;
    return some(answer);
  }

  /** Ends the subscriptions. */
  close(): void {
    this.stops.forEach((stop) => stop());
  }

  private getRegionAnswers(
    steering: CompiledSteering,
    service: string,
    clientRegion: string,
  ): RegionAnswers {
    const key = `${service}>${clientRegion}`;
    const known = this.cache.get(key);
    if (known !== undefined && known.selector?.getWeighted() === known.weighted) {
      return known;
    }
    const fresh = this.buildRegionAnswers(steering, service, clientRegion);
    this.cache.set(key, fresh);
    return fresh;
  }

  private buildRegionAnswers(
    steering: CompiledSteering,
    service: string,
    clientRegion: string,
  ): RegionAnswers {
    const members = this.membership
      .getMembers()
      .filter(({ state, reachable }) => state === 'live' && reachable);
    const tiers = listEntryTiers(steering, service, clientRegion, members);
    const first = tiers[0]?.members.length ?? 1;
    const rotations = first * Math.max(2, 2 * Math.floor(MAX_ROTATIONS / (2 * first)));
    const selector = steering.findSelector(service, clientRegion);
    return { selector, weighted: selector?.getWeighted(), tiers, rotations, answers: [] };
  }

  private buildAnswer(
    steering: CompiledSteering,
    tiers: readonly EntryTier[],
    rotation: number,
  ): EntriesAnswer {
    const maxAgeSeconds = steering.index.configuration.entriesMaxAgeSeconds;
    const entries = chooseEntries(tiers, rotation).map(({ address, region, failureDomain }) => ({
      address,
      region,
      failureDomain,
    }));
    const answer = { revision: steering.revision, maxAgeSeconds, entries };
    return { body: Buffer.from(JSON.stringify(answer)), maxAgeSeconds };
  }
}
