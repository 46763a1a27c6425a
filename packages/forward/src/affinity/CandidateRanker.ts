/**
 * The targets that may take a request, cheapest first.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import type TargetCatalogue from '@burdockcove/fleet/TargetCatalogue';
import type Random from '@burdockcove/runtime/Random';
import type ChoiceRequest from '../ChoiceRequest.js';
import type Candidate from './Candidate.js';
import computeCostMs from './computeCostMs.js';
import computeWaitMs from './computeWaitMs.js';
import computeWorkFactor from './computeWorkFactor.js';
import type EvidenceBook from './EvidenceBook.js';
import type RankedTarget from './RankedTarget.js';
import rankTargets from './rankTargets.js';

const RANDOM_KEYS = 2 ** 30;
/** How much more of the objects a target of the own region gets than one of another. */
const OWN_REGION_WEIGHT = 3;

interface CandidateRankerParts {
  readonly random: Random;
  readonly catalogue: TargetCatalogue;
  /** Round trip to the target's region, in milliseconds. */
  readonly getRoundTripMs: (region: string) => number;
  readonly ownRegion: string;
}

/** Objects of different rules are different objects, whatever their keys. */
function buildObjectKey({ affinityKey, service }: ChoiceRequest): string | undefined {
  return affinityKey === undefined ? undefined : `${service.name} ${affinityKey}`;
}

/** Leaves out targets that were tried, that are failing, or that stand where the request may not go. */
export default class CandidateRanker {
  constructor(
    private readonly book: EvidenceBook,
    private readonly parts: CandidateRankerParts,
  ) {}

  rankByCost(request: ChoiceRequest): readonly RankedTarget[] {
    const { random, ownRegion } = this.parts;
    const objectKey = buildObjectKey(request);
    const key = objectKey ?? String(random.nextInt(RANDOM_KEYS));
    const usualMs = this.book.getLatency(request).getMeanMs();
    const ranked = rankTargets(key, this.listCandidates(request), ({ target, region }) =>
      region === ownRegion ? target.slots * OWN_REGION_WEIGHT : target.slots,
    );
    return ranked
      .map((known, rank) => this.rate(known, rank, usualMs, objectKey))
      .sort((a, b) => a.costMs - b.costMs);
  }

  private listCandidates({ plan, tried }: ChoiceRequest): readonly KnownTarget[] {
    const allowed = new Set(plan.regions.map(({ region }) => region));
    return this.parts.catalogue
      .listUsable(plan.targetService)
      .filter(({ target, region }) => allowed.has(region) && !tried.includes(target.name))
      .filter(({ target }) => !this.book.getEvidence(target).isFailing());
  }

  private rate(
    known: KnownTarget,
    rank: number,
    usualMs: number,
    objectKey: string | undefined,
  ): RankedTarget {
    const evidence = this.book.getEvidence(known.target);
    const candidate: Candidate = {
      rank,
      isWarm: objectKey !== undefined && evidence.warm.has(objectKey),
      slots: known.target.slots,
      inFlight: evidence.estimateInFlight(),
      slowness: evidence.estimateSlowness(),
      roundTripMs: this.parts.getRoundTripMs(known.region),
    };
    const { isWarm } = candidate;
    const costMs = computeCostMs(candidate, usualMs);
    const waitMs = computeWaitMs(candidate, usualMs);
    const expectedMs = usualMs * computeWorkFactor(candidate);
    return { known, rank, objectKey, isWarm, costMs, waitMs, expectedMs };
  }
}
