/**
 * Describes which target `AffinityChooser` would choose now, and why, without choosing it.
 *
 * Changes nothing that a choice depends on: it acquires no permission, starts no health check, draws no random number and
 * keeps no statistics, models or orders of preference.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import type TargetAdmission from '@burdockcove/fleet/TargetAdmission';
import type TargetCatalogue from '@burdockcove/fleet/TargetCatalogue';
import type Clock from '@burdockcove/runtime/Clock';
import type ChoiceRequest from '../ChoiceRequest.js';
import canEndInTime from '../cost/canEndInTime.js';
import hasSpareSlots from '../cost/hasSpareSlots.js';
import type EstimatorSelector from '../cost/EstimatorSelector.js';
import type AffinityDescription from './AffinityDescription.js';
import type CandidateRanker from './CandidateRanker.js';
import computeMaxWaitMs from './computeMaxWaitMs.js';
import type DescribedCandidate from './DescribedCandidate.js';
import describeCandidate from './describeCandidate.js';
import type ExclusionReason from './ExclusionReason.js';
import type LowestPriorities from './LowestPriorities.js';
import type RankedTarget from './RankedTarget.js';
import type Ranking from './Ranking.js';
import selectEligible from './selectEligible.js';
import tallyReasons from './tallyReasons.js';
import type TargetStatsRegistry from './TargetStatsRegistry.js';
import type UrgentRefusals from './UrgentRefusals.js';

/** Limit on the targets of each kind that a description lists. */
const MAX_LISTED = 20;

interface ChoiceDescriberDependencies {
  readonly clock: Clock;
  readonly catalogue: TargetCatalogue;
  readonly admission: TargetAdmission;
  readonly stats: TargetStatsRegistry;
  readonly estimators: EstimatorSelector;
  readonly ranker: CandidateRanker;
  readonly priorities: LowestPriorities;
  readonly urgentRefusals: UrgentRefusals;
}

/** The compared targets with the reasons of those that may not take the request now. */
type Reasons = ReadonlyMap<RankedTarget, ExclusionReason>;

interface Evaluation {
  readonly ranked: readonly RankedTarget[];
  readonly reasons: Reasons;
}

/** Follows the steps of `AffinityChooser` for a first attempt. */
export default class ChoiceDescriber {
  constructor(private readonly dependencies: ChoiceDescriberDependencies) {}

  describe(request: ChoiceRequest): AffinityDescription {
    const { catalogue, estimators } = this.dependencies;
    const { targetService } = request.plan;
    const known = catalogue.listKnown(targetService).map((target) => ({
      target,
      reason: this.findExclusion(target, request),
    }));
    const usable = known.filter(({ reason }) => reason === undefined).map(({ target }) => target);
    const { ranked, reasons } = this.evaluateTargets(request, usable);
    const chosen = ranked.find((entry) => !reasons.has(entry));
    const ruledOut = known.flatMap(({ target: { target, region }, reason }) =>
      reason === undefined ? [] : [{ target: target.name, region, reason }],
    );
    const others = ranked.slice(MAX_LISTED).map((entry) => reasons.get(entry) ?? 'available');
    return {
      ...this.describeOutcome(ranked, chosen),
      isLearned: estimators.isLearned(targetService),
      isOrderRandom: request.affinityKey === undefined,
      candidates: this.describeCandidates(ranked, reasons),
      otherCandidates: tallyReasons(others),
      notCompared: usable.length - ranked.length,
      ruledOut: ruledOut.slice(0, MAX_LISTED),
      otherRuledOut: tallyReasons(ruledOut.slice(MAX_LISTED).map(({ reason }) => reason)),
    };
  }

  private describeOutcome(
    ranked: readonly RankedTarget[],
    chosen: RankedTarget | undefined,
  ): Pick<AffinityDescription, 'outcome' | 'target'> {
    if (chosen !== undefined) {
      return { outcome: 'sent', target: chosen.known.target.name };
    }
    if (ranked.length === 0) {
      return { outcome: 'no-target' };
    }
    return { outcome: ranked.some(canEndInTime) ? 'queued' : 'not-in-time' };
  }

  private describeCandidates(
    ranked: readonly RankedTarget[],
    reasons: Reasons,
  ): readonly DescribedCandidate[] {
    const { admission } = this.dependencies;
    return ranked.slice(0, MAX_LISTED).map((entry) => {
      const isCold = admission.isCold(entry.known);
      const isConfirmed = admission.isConfirmed(entry.known);
      return describeCandidate(entry, { isCold, isConfirmed }, reasons.get(entry));
    });
  }

  /** Returns why the target is not compared; undefined if it is. */
  private findExclusion(known: KnownTarget, { plan }: ChoiceRequest): ExclusionReason | undefined {
    const { catalogue, stats } = this.dependencies;
    const exclusion = catalogue.findExclusion(known);
    if (exclusion !== undefined) {
      return exclusion;
    }
    if (!plan.regions.some(({ region }) => region === known.region)) {
      return 'region-not-allowed';
    }
    if (stats.findTargetStats(known.target).isInFailureBackoff()) {
      return 'failure-backoff';
    }
    return catalogue.getPauseMs(known) > 0 ? 'pause' : undefined;
  }

  /** All targets are compared where none of the first ones may take a request without an object. */
  private evaluateTargets(request: ChoiceRequest, usable: readonly KnownTarget[]): Evaluation {
    const { ranker } = this.dependencies;
    const first = ranker.describeRanking(request, usable, true);
    const evaluation = this.evaluateRanking(request, first);
    const isDecided = evaluation.reasons.size < first.ranked.length;
    return isDecided || first.isComplete || request.affinityKey !== undefined
      ? evaluation
      : this.evaluateRanking(request, ranker.describeRanking(request, usable, false));
  }

  private evaluateRanking(request: ChoiceRequest, { ranked }: Ranking): Evaluation {
    const { admission } = this.dependencies;
    const reasons = new Map<RankedTarget, ExclusionReason>();
    ranked.forEach((entry) => {
      const reason = this.findBusyReason(entry, request);
      if (reason !== undefined) {
        reasons.set(entry, reason);
      }
    });
    const available = ranked.filter((entry) => !reasons.has(entry));
    const eligible = new Set(selectEligible(ranked, available, false));
    available.forEach((entry) => {
      if (!eligible.has(entry)) {
        reasons.set(entry, 'not-preferred');
      } else if (!admission.canAdmit(entry.known)) {
        reasons.set(entry, 'cold');
      }
    });
    return { ranked, reasons };
  }

  private findBusyReason(entry: RankedTarget, request: ChoiceRequest): ExclusionReason | undefined {
    const { known, waitMs } = entry;
    const { clock, stats: registry, priorities, urgentRefusals } = this.dependencies;
    if (!canEndInTime(entry)) {
      return 'not-in-time';
    }
    if (urgentRefusals.mustYield(request) && !hasSpareSlots(entry)) {
      return 'less-urgent';
    }
    if (waitMs > computeMaxWaitMs(request, clock.getMonotonicMs())) {
      return 'wait-too-long';
    }
    const stats = registry.findTargetStats(known.target);
    const meanLatencyMs = registry.findLatencyAverage(request).getMeanMs();
    if (stats.hasCapacity(meanLatencyMs, priorities.getExtraRequests(request))) {
      return undefined;
    }
    return stats.isInShedBackoff() ? 'shed-backoff' : 'concurrency-limit';
  }
}
