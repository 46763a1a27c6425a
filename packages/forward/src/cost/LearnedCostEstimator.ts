/**
 * Estimates from learned work: what the request needs, what each target still has to do, and the chance that the
 * response comes within the latency goal.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import type Clock from '@burdockcove/runtime/Clock';
import type RankedTarget from '../affinity/RankedTarget.js';
import type SentRequest from '../affinity/SentRequest.js';
import type TargetStats from '../affinity/TargetStats.js';
import type TargetStatsRegistry from '../affinity/TargetStatsRegistry.js';
import type AttemptResult from '../AttemptResult.js';
import type ChoiceRequest from '../ChoiceRequest.js';
import hasFreeSlots from '../hasFreeSlots.js';
import classifyWarmth from './classifyWarmth.js';
import computeQueueWaitMs from './computeQueueWaitMs.js';
import type CostEstimator from './CostEstimator.js';
import estimateWorkMs from './estimateWorkMs.js';
import ObjectHeaviness from './ObjectHeaviness.js';
import RequestWork from './RequestWork.js';
import type WorkModel from './WorkModel.js';
import WorkModelRegistry from './WorkModelRegistry.js';

const MIN_ERROR_STATUS = 400;
/** Weight of a response from a target that may have let it wait: its time is only partly work. */
const QUEUED_WEIGHT = 0.1;
/** Samples of a kind from which on deviations are ascribed to the objects alone. */
const SETTLED_SAMPLES = 10;
/** Age up to which a target is new: its queue is shorter than those of its service's other targets. */
const NEW_TARGET_MS = 3000;

interface LearnedCostEstimatorDependencies {
  readonly clock: Clock;
  readonly stats: TargetStatsRegistry;
  /** Returns the round-trip time to the region in milliseconds. */
  readonly getRoundTripMs: (region: string) => number;
  /** Records expected over actual time until a response. */
  readonly recordError: (service: string, ratio: number) => void;
}

/** Used where targets report the pace of their machines. */
export default class LearnedCostEstimator implements CostEstimator {
  private readonly models = new WorkModelRegistry();

  private readonly heaviness: ObjectHeaviness;

  constructor(private readonly dependencies: LearnedCostEstimatorDependencies) {
    this.heaviness = new ObjectHeaviness(dependencies.clock);
  }

  prepareEstimate(
    request: ChoiceRequest,
    objectKey: string | undefined,
  ): (known: KnownTarget, rank: number) => RankedTarget {
    const work = this.buildWork(request, objectKey, this.models.getModel(request));
    const meanMs = this.models.getMeanMs(request.plan.targetService);
    return (known, rank) => {
      const stats = this.dependencies.stats.getTargetStats(known.target);
      stats.noteIncarnation(known.startedAtMs);
      return this.estimate(work, { known, rank, objectKey }, stats, meanMs);
    };
  }

  /** Like `prepareEstimate`, but changes nothing: for descriptions. */
  prepareDescription(
    request: ChoiceRequest,
    objectKey: string | undefined,
  ): (known: KnownTarget, rank: number) => RankedTarget {
    const work = this.buildWork(request, objectKey, this.models.findModel(request));
    const meanMs = this.models.getMeanMs(request.plan.targetService);
    return (known, rank) => {
      const stats = this.dependencies.stats.findTargetStats(known.target);
      return this.estimate(work, { known, rank, objectKey }, stats, meanMs);
    };
  }

  /** Returns the work at a target that has lately handled the object, in milliseconds; of a first visit without one. */
  estimateLeastMs(request: ChoiceRequest, objectKey: string | undefined): number {
    const model = this.models.getModel(request);
    return objectKey === undefined
      ? Math.exp(model.getFirstVisitLog())
      : Math.exp(model.getWarmLog() + this.heaviness.estimate(objectKey));
  }

  recordResponse(
    request: ChoiceRequest,
    ranked: RankedTarget,
    sent: SentRequest,
    result: AttemptResult,
  ): void {
    if (result.status >= MIN_ERROR_STATUS) {
      return;
    }
    if (ranked.forecast !== undefined) {
      const ratio = ranked.costMs / Math.max(1, result.latencyMs);
      this.dependencies.recordError(request.service.name, ratio);
    }
    this.learn(request, ranked, sent, result);
  }

  /** Records whether a request that was sent with the given estimate ended before its timeout. */
  recordEnd(request: ChoiceRequest, { forecast }: RankedTarget, hasEnded: boolean): void {
    if (forecast !== undefined) {
      const { endChanceCorrection } = this.models.getModel(request);
      endChanceCorrection.record(
        forecast.endChance,
        hasEnded,
        this.dependencies.clock.getMonotonicMs(),
      );
    }
  }

  private learn(
    request: ChoiceRequest,
    { known, rank, objectKey, isWarm }: RankedTarget,
    sent: SentRequest,
    result: AttemptResult,
  ): void {
    const { load, latencyMs } = result;
    const ratio = load?.workTimeRatio ?? 1;
    const roundTripMs = this.dependencies.getRoundTripMs(known.region);
    const workMs = estimateWorkMs(latencyMs, roundTripMs, sent.expectedWaitMs, ratio);
    const weight = hasFreeSlots(result) && sent.expectedWaitMs === 0 ? 1 : QUEUED_WEIGHT;
    const model = this.models.getModel(request);
    const heavinessLog = objectKey === undefined ? 0 : this.heaviness.estimate(objectKey);
    const warmth = classifyWarmth(known, rank, objectKey, isWarm, sent.sentAtMs);
    const settledShare = Math.min(1, model.getWeight() / SETTLED_SAMPLES);
    const deviationLog = model.record(workMs, warmth, heavinessLog, weight);
    this.models.recordMean(request.plan.targetService, workMs, weight);
    if (objectKey !== undefined) {
      this.heaviness.record(objectKey, deviationLog, weight * settledShare);
    }
  }

  private buildWork(
    { service, firstRequestedAtMs, deadlineAtMs }: ChoiceRequest,
    objectKey: string | undefined,
    model: WorkModel,
  ): RequestWork {
    const nowMs = this.dependencies.clock.getMonotonicMs();
    const heavinessLog = objectKey === undefined ? 0 : this.heaviness.estimate(objectKey);
    const [passedMs, leftMs] = [nowMs - firstRequestedAtMs, deadlineAtMs - nowMs];
    const factor = model.isSettled() ? model.endChanceCorrection.estimateFactor(nowMs) : 1;
    return new RequestWork(model, heavinessLog, service.targetLatencyMs, passedMs, leftMs, factor);
  }

  private estimate(
    work: RequestWork,
    { known, rank, objectKey }: Pick<RankedTarget, 'known' | 'rank' | 'objectKey'>,
    stats: TargetStats,
    meanMs: number,
  ): RankedTarget {
    const { clock, getRoundTripMs } = this.dependencies;
    const { region } = known;
    const isWarm = objectKey !== undefined && stats.isWarm(objectKey, known.startedAtMs);
    const warmth = classifyWarmth(known, rank, objectKey, isWarm, clock.getMonotonicMs());
    const load = this.describeLoad(stats, known, meanMs);
    const roundTripMs = getRoundTripMs(region);
    const forecast = work.buildForecast(warmth, load, roundTripMs);
    const costMs = roundTripMs + load.waitMs + forecast.workMs;
    const { waitMs } = load;
    const expectedDurationMs = forecast.workMs / forecast.workTimeRatio;
    return { known, rank, objectKey, isWarm, costMs, waitMs, expectedDurationMs, forecast };
  }

  private describeLoad(stats: TargetStats, known: KnownTarget, meanMs: number) {
    const { slots } = known.target;
    const workTimeRatio = stats.estimateWorkTimeRatio();
    const othersInFlight = stats.estimateOthersInFlight(this.hasJustStarted(known));
    const inFlight = stats.inFlight + othersInFlight;
    const workLeftMs = (stats.sumOwnRestMs() + othersInFlight * meanMs) * workTimeRatio;
    const waitMs = computeQueueWaitMs(workLeftMs, inFlight, slots);
    return { workTimeRatio, workLeftMs, waitMs, occupancy: inFlight / Math.max(1, slots) };
  }

  /** Whether the target is still cold, or started after most reports that the load of its service rests on. */
  private hasJustStarted({ coldUntilMs, startedAtMs }: KnownTarget): boolean {
    const { clock } = this.dependencies;
    return coldUntilMs > clock.getMonotonicMs() || clock.getWallMs() - startedAtMs < NEW_TARGET_MS;
  }
}
