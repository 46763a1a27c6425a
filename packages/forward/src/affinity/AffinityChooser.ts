/**
 * Target choice by affinity: requests for one object go to the target that all entry VMs rank first for it, and to
 * another target only where that one is expected to respond sooner.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import type StateAge from '@burdockcove/fleet/StateAge';
import type TargetAdmission from '@burdockcove/fleet/TargetAdmission';
import type TargetCatalogue from '@burdockcove/fleet/TargetCatalogue';
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import isCapacityRefusal from '../admission/isCapacityRefusal.js';
import PriorityAdmissionQueue from '../admission/PriorityAdmissionQueue.js';
import ProbeShare from '../admission/ProbeShare.js';
import type WaitMetrics from '../admission/WaitMetrics.js';
import type AttemptResult from '../AttemptResult.js';
import type Choice from '../Choice.js';
import type ChoiceBasis from '../ChoiceBasis.js';
import type ChoiceRequest from '../ChoiceRequest.js';
import buildEstimatorSelector from '../cost/buildEstimatorSelector.js';
import canEndInTime from '../cost/canEndInTime.js';
import hasSpareSlots from '../cost/hasSpareSlots.js';
import describeForecast from '../cost/describeForecast.js';
import type EstimatorOptions from '../cost/EstimatorOptions.js';
import type EstimatorSelector from '../cost/EstimatorSelector.js';
import type TargetChooser from '../TargetChooser.js';
import buildObjectKey from './buildObjectKey.js';
import CandidateRanker from './CandidateRanker.js';
import ChoiceDescriber from './ChoiceDescriber.js';
import computeMaxWaitMs from './computeMaxWaitMs.js';
import LowestPriorities from './LowestPriorities.js';
import type RankedTarget from './RankedTarget.js';
import type Ranking from './Ranking.js';
import RefusalFactory from './RefusalFactory.js';
import selectEligible from './selectEligible.js';
import type SentRequest from './SentRequest.js';
import TargetStatsRegistry from './TargetStatsRegistry.js';
import UrgentRefusals from './UrgentRefusals.js';

interface AffinityChooserDependencies extends EstimatorOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly catalogue: TargetCatalogue;
  readonly admission: TargetAdmission;
  readonly ownRegion: string;
  /** Factor on the share of objects that targets of the own region get; absent: 3. */
  readonly ownRegionWeight?: number;
  /** Returns the number of entry VMs that share the targets' slots. */
  readonly countEntryVms: () => number;
  readonly stateAge: StateAge;
  readonly metrics: WaitMetrics;
}

/**
 * Queues a request for a short time when no target has capacity. Refuses at once when no target can take the request,
 * and when the attempt is a retry.
 */
export default class AffinityChooser implements TargetChooser {
  private readonly stats: TargetStatsRegistry;

  private readonly estimators: EstimatorSelector;

  private readonly ranker: CandidateRanker;

  private readonly refusals: RefusalFactory;

  private readonly queue: PriorityAdmissionQueue;

  private readonly probes = new ProbeShare();

  private readonly urgentRefusals: UrgentRefusals;

  private readonly priorities = new LowestPriorities();

  /** Describes choices without making them. */
  readonly describer: ChoiceDescriber;

  constructor(private readonly dependencies: AffinityChooserDependencies) {
    const { clock, catalogue, random } = dependencies;
    this.stats = new TargetStatsRegistry(clock, catalogue);
    this.estimators = buildEstimatorSelector(clock, this.stats, dependencies);
    this.ranker = new CandidateRanker(this.stats, this.estimators, dependencies);
    this.refusals = new RefusalFactory(random);
    this.urgentRefusals = new UrgentRefusals(clock);
    const { stats, estimators, ranker, priorities, urgentRefusals } = this;
    const parts = { stats, estimators, ranker, priorities, urgentRefusals };
    this.describer = new ChoiceDescriber({ ...dependencies, ...parts });
    this.queue = new PriorityAdmissionQueue({
      clock,
      metrics: dependencies.metrics,
      getLimit: (targetService) => this.computeOwnSlots(targetService),
      tryChoose: (request, canUseOtherTargets) => this.choose(request, canUseOtherTargets),
      isShared: (targetService) => this.estimators.isLearned(targetService),
      estimateLeastMs: (request) =>
        this.estimators.estimateLeastMs(request, buildObjectKey(request)),
    });
  }

  chooseTarget(request: ChoiceRequest): Promise<Either<RequestFailure, Choice>> {
    const isRetry = request.tried.length > 0;
    const choice = this.choose(request, isRetry);
    if (!isCapacityRefusal(choice) || isRetry) {
      return Promise.resolve(choice);
    }
    return this.queue.wait(request, choice);
  }

  /** Returns this VM's share of the service's slots, rounded up. */
  private computeOwnSlots(targetService: string): number {
    const { catalogue, countEntryVms } = this.dependencies;
    const slots = catalogue
      .listUsable(targetService)
      .reduce((sum, { target }) => sum + target.slots, 0);
    return Math.ceil(slots / Math.max(1, countEntryVms()));
  }

  /** `canUseOtherTargets` allows targets other than the cheapest one, which is usually the object's preferred target. */
  private choose(
    request: ChoiceRequest,
    canUseOtherTargets: boolean,
  ): Either<RequestFailure, Choice> {
    this.dependencies.admission.checkDeparted(request.plan.targetService);
    const first = this.ranker.rankFirst(request);
    if (first.ranked.length === 0) {
      const pauseMs = this.ranker.getShortestPauseMs(request);
      return left(this.refusals.createWithoutTarget(pauseMs));
    }
    if (!first.ranked.some(canEndInTime)) {
      return this.chooseDespiteTime(request, first, canUseOtherTargets);
    }
    const picked = this.pickTarget(request, first.ranked, canUseOtherTargets);
    if (picked !== undefined) {
      return right(this.createChoice(request, picked, first.ranked.indexOf(picked)));
    }
    const mayUseAny = canUseOtherTargets || request.affinityKey === undefined;
    return first.isComplete || !mayUseAny
      ? left(this.refuseBusy(request, first.ranked))
      : this.chooseAmongAll(request, canUseOtherTargets);
  }

  private chooseAmongAll(
    request: ChoiceRequest,
    canUseOtherTargets: boolean,
  ): Either<RequestFailure, Choice> {
    const { ranked } = this.ranker.rankAll(request);
    const picked = this.pickTarget(request, ranked, canUseOtherTargets);
    return picked === undefined
      ? left(this.refuseBusy(request, ranked))
      : right(this.createChoice(request, picked, ranked.indexOf(picked)));
  }

  /** Refuses unless one of the other targets may respond in time; a small share passes as probes. */
  private chooseDespiteTime(
    request: ChoiceRequest,
    first: Ranking,
    canUseOtherTargets: boolean,
  ): Either<RequestFailure, Choice> {
    const mayUseAny = canUseOtherTargets || request.affinityKey === undefined;
    const { ranked } = first.isComplete || !mayUseAny ? first : this.ranker.rankAll(request);
    const isProbe = !ranked.some(canEndInTime);
    if (
      isProbe &&
      !this.probes.tryAcquire(`${request.plan.targetService} ${request.service.name}`)
    ) {
      this.urgentRefusals.record(request);
      const leftMs = request.deadlineAtMs - this.dependencies.clock.getMonotonicMs();
      const excessMs = Math.min(...ranked.map(({ costMs }) => costMs)) - leftMs;
      return left(this.refusals.createNotInTime(Math.max(0, excessMs)));
    }
    const picked = this.pickTarget(request, ranked, canUseOtherTargets, isProbe);
    return picked === undefined
      ? left(this.refuseBusy(request, ranked))
      : right(this.createChoice(request, picked, ranked.indexOf(picked)));
  }

  /** Returns the first target that has capacity and may take the request; its admission is acquired. */
  private pickTarget(
    request: ChoiceRequest,
    ranked: readonly RankedTarget[],
    canUseOtherTargets: boolean,
    isProbe = false,
  ): RankedTarget | undefined {
    const maxWaitMs = computeMaxWaitMs(request, this.dependencies.clock.getMonotonicMs());
    const meanLatencyMs = this.stats.getLatencyAverage(request).getMeanMs();
    const mustYield = this.urgentRefusals.mustYield(request);
    this.priorities.record(request);
    const extraRequests = this.priorities.getExtraRequests(request);
    const available = ranked.filter(
      (entry) =>
        (isProbe || canEndInTime(entry)) &&
        (!mustYield || hasSpareSlots(entry)) &&
        entry.waitMs <= maxWaitMs &&
        this.stats.getTargetStats(entry.known.target).hasCapacity(meanLatencyMs, extraRequests),
    );
    return selectEligible(ranked, available, canUseOtherTargets).find(({ known }) =>
      this.dependencies.admission.tryAdmit(known),
    );
  }

  private refuseBusy(request: ChoiceRequest, ranked: readonly RankedTarget[]): RequestFailure {
    const meanLatencyMs = this.stats.getLatencyAverage(request).getMeanMs();
    const waitMs = Math.min(...ranked.map((entry) => entry.waitMs));
    return this.refusals.createBusy(waitMs + meanLatencyMs);
  }

  private createChoice(request: ChoiceRequest, ranked: RankedTarget, place: number): Choice {
    const { known, costMs, expectedDurationMs, forecast, waitMs } = ranked;
    const { target, region } = known;
    const stats = this.stats.getTargetStats(target);
    const { admission } = this.dependencies;
    const basis = {
      place,
      costMs: Math.round(costMs),
      ...stats.describeLoad(),
      ...describeForecast(forecast),
      isCold: admission.isCold(known),
      isConfirmed: admission.isConfirmed(known),
      ...this.describeState(),
    };
    const expectedWaitMs = forecast === undefined ? 0 : waitMs;
    const sent = stats.recordSent(expectedDurationMs, expectedWaitMs);
    admission.recordSent(known);
    return {
      target,
      region,
      basis,
      permit: { target: target.name, release: () => undefined },
      reportResult: (result) => this.recordResult(request, ranked, sent, result),
    };
  }

  /** Returns how old the state is and which number of entry VMs it holds, for logs. */
  private describeState(): Pick<ChoiceBasis, 'stateAgeMs' | 'entryVms'> {
    const entryVms = this.dependencies.countEntryVms();
    const stateAgeMs = Math.round(this.dependencies.stateAge.getAgeMs());
    return Number.isFinite(stateAgeMs) ? { stateAgeMs, entryVms } : { entryVms };
  }

  private recordResult(
    request: ChoiceRequest,
    ranked: RankedTarget,
    sent: SentRequest,
    result: AttemptResult,
  ): void {
    const { known, objectKey } = ranked;
    const stats = this.stats.getTargetStats(known.target);
    const meanLatencyMs = this.stats.getLatencyAverage(request).getMeanMs();
    if (result.ended === 'answered') {
      this.estimators.recordResponse(request, ranked, sent, result);
      if (objectKey !== undefined) {
        stats.warmObjects.record(objectKey);
      }
    }
    if (result.ended === 'answered' || result.ended === 'timed-out') {
      this.estimators.recordEnd(request, ranked, result.ended === 'answered');
      if (result.ended === 'timed-out' && ranked.forecast !== undefined) {
        this.urgentRefusals.record(request);
      }
    }
    stats.recordResult(sent, result, meanLatencyMs);
    this.recordSignOfLife(known, sent, result);
  }

  /** Tells the admission of responses and of signs of a restart; a misdirected request says nothing of the target. */
  private recordSignOfLife(known: KnownTarget, sent: SentRequest, { ended }: AttemptResult): void {
    const { admission } = this.dependencies;
    const isSilent = ended === 'timed-out' && this.stats.getTargetStats(known.target).isSilent();
    if (ended === 'unreachable' || ended === 'broken' || isSilent) {
      admission.recordFailure(known);
    } else if (ended === 'answered' || ended === 'shed') {
      admission.recordResponse(known, sent.sentAtMs);
    }
  }
}
