/**
 * Lists the targets that may take a request, best first.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import type TargetCatalogue from '@burdockcove/fleet/TargetCatalogue';
import type Random from '@burdockcove/runtime/Random';
import type ChoiceRequest from '../ChoiceRequest.js';
import type EstimatorSelector from '../cost/EstimatorSelector.js';
import orderByLoss from '../cost/orderByLoss.js';
import PreferenceOrders from '../cost/PreferenceOrders.js';
import buildObjectKey from './buildObjectKey.js';
import type RankedTarget from './RankedTarget.js';
import type Ranking from './Ranking.js';
import rankTargets from './rankTargets.js';
import type TargetStatsRegistry from './TargetStatsRegistry.js';

/** Requests without an object get a random key below this number, which spreads them over the targets. */
const RANDOM_KEY_COUNT = 2 ** 30;
/** Default of `ownRegionWeight`. */
const OWN_REGION_WEIGHT = 3;
/** Targets compared by learned work; beyond the first two of the order of preference all are first visits alike. */
const MAX_COMPARED = 10;

interface CandidateRankerDependencies {
  readonly random: Random;
  readonly catalogue: TargetCatalogue;
  readonly ownRegion: string;
  /**
   * Factor by which a target of the own region gets more objects than one of another region; absent: 3. With 1, the VMs
   * of all regions prefer the same target for an object.
   */
  readonly ownRegionWeight?: number;
}

function buildAllowedFilter({ plan, tried }: ChoiceRequest): (known: KnownTarget) => boolean {
  const allowed = new Set(plan.regions.map(({ region }) => region));
  return ({ target, region }) => allowed.has(region) && !tried.includes(target.name);
}

/**
 * Omits targets that were already tried, that are in failure backoff, that asked for a pause, or whose region the plan
 * does not allow.
 */
export default class CandidateRanker {
  private readonly orders: PreferenceOrders;

  constructor(
    private readonly stats: TargetStatsRegistry,
    private readonly estimators: EstimatorSelector,
    private readonly dependencies: CandidateRankerDependencies,
  ) {
    this.orders = new PreferenceOrders((known) => this.getWeight(known));
  }

  /** Compares the first targets of the order of preference by learned work, or else all targets by their cost. */
  rankFirst(request: ChoiceRequest): Ranking {
    const isLearned = this.estimators.isLearned(request.plan.targetService);
    return this.rank(request, isLearned ? MAX_COMPARED : Infinity);
  }

  /** Compares all targets that may take the request. */
  rankAll(request: ChoiceRequest): Ranking {
    return this.rank(request, Infinity);
  }

  /** Returns the time until one of the targets that asked for a pause takes the request, in ms; Infinity if none did. */
  getShortestPauseMs(request: ChoiceRequest): number {
    const { catalogue } = this.dependencies;
    const isAllowed = buildAllowedFilter(request);
    const pausesMs = catalogue
      .listUsable(request.plan.targetService)
      .filter(isAllowed)
      .map((known) => catalogue.getPauseMs(known))
      .filter((pauseMs) => pauseMs > 0);
    return Math.min(...pausesMs);
  }

  /**
   * Ranks the given targets as `rankFirst` or `rankAll` would, but changes nothing. Requests without an object have a
   * random order of preference; this is one of them.
   */
  describeRanking(
    request: ChoiceRequest,
    candidates: readonly KnownTarget[],
    isFirst: boolean,
  ): Ranking {
    const isLearned = this.estimators.isLearned(request.plan.targetService);
    const limit = isFirst && isLearned ? MAX_COMPARED : Infinity;
    const objectKey = buildObjectKey(request);
    const preferred = rankTargets(objectKey ?? '', candidates, (known) => this.getWeight(known));
    const estimates = preferred
      .slice(0, limit)
      .map(this.estimators.prepareDescription(request, objectKey));
    return { ranked: this.order(request, estimates), isComplete: candidates.length < limit };
  }

  private rank(request: ChoiceRequest, limit: number): Ranking {
    const objectKey = buildObjectKey(request);
    const first =
      objectKey === undefined
        ? this.listAtRandom(request, limit)
        : this.listPreferred(request, objectKey, limit);
    const estimates = first.map(this.estimators.prepareEstimate(request, objectKey));
    const isComplete = first.length < limit;
    return { ranked: this.order(request, estimates), isComplete };
  }

  private order(
    { plan }: ChoiceRequest,
    estimates: readonly RankedTarget[],
  ): readonly RankedTarget[] {
    return this.estimators.isLearned(plan.targetService)
      ? orderByLoss(estimates)
      : [...estimates].sort((a, b) => a.costMs - b.costMs);
  }

  private listPreferred(
    request: ChoiceRequest,
    objectKey: string,
    limit: number,
  ): readonly KnownTarget[] {
    const { targetService } = request.plan;
    const usable = this.dependencies.catalogue.listUsable(targetService);
    const isCandidate = this.buildCandidateFilter(request);
    return this.orders.listFirst(objectKey, targetService, usable, isCandidate, limit);
  }

  /** Hashes all targets by a random key, or draws as many as are compared. */
  private listAtRandom(request: ChoiceRequest, limit: number): readonly KnownTarget[] {
    const { random, catalogue } = this.dependencies;
    const candidates = catalogue
      .listUsable(request.plan.targetService)
      .filter(this.buildCandidateFilter(request));
    if (candidates.length <= limit) {
      const key = String(random.nextInt(RANDOM_KEY_COUNT));
      return rankTargets(key, candidates, (known) => this.getWeight(known));
    }
    for (let drawn = 0; drawn < limit; drawn += 1) {
      const other = drawn + random.nextInt(candidates.length - drawn);
      const known = candidates[drawn] as KnownTarget;
      candidates[drawn] = candidates[other] as KnownTarget;
      candidates[other] = known;
    }
    return candidates.slice(0, limit);
  }

  private getWeight({ target, region }: KnownTarget): number {
    const { ownRegion, ownRegionWeight = OWN_REGION_WEIGHT } = this.dependencies;
    return region === ownRegion ? target.slots * ownRegionWeight : target.slots;
  }

  private buildCandidateFilter(request: ChoiceRequest): (known: KnownTarget) => boolean {
    const { catalogue } = this.dependencies;
    const isAllowed = buildAllowedFilter(request);
    const hasNotices = catalogue.hasNotices();
    return (known) =>
      isAllowed(known) &&
      !this.stats.getTargetStats(known.target).isInFailureBackoff() &&
      !(hasNotices && catalogue.getPauseMs(known) > 0);
  }
}
