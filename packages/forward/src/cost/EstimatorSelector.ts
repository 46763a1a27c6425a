/**
 * Selects the estimator for each target service: the learned one once its targets report the pace of their machines.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import type RankedTarget from '../affinity/RankedTarget.js';
import type SentRequest from '../affinity/SentRequest.js';
import type AttemptResult from '../AttemptResult.js';
import type ChoiceRequest from '../ChoiceRequest.js';
import type CostEstimator from './CostEstimator.js';
import type LatencyCostEstimator from './LatencyCostEstimator.js';
import type LearnedCostEstimator from './LearnedCostEstimator.js';

/** Responses feed both, since the mean latency also bounds the concurrency limits and `Retry-After`. */
export default class EstimatorSelector implements CostEstimator {
  private readonly pacedServices = new Set<string>();

  /** `isForced` switches the learned estimates on or off whatever targets report; undefined leaves it to the reports. */
  constructor(
    private readonly latency: LatencyCostEstimator,
    private readonly learned: LearnedCostEstimator,
    private readonly isForced: boolean | undefined,
  ) {}

  /** Whether requests to the target service are estimated from learned work. */
  isLearned(targetService: string): boolean {
    return this.isForced ?? this.pacedServices.has(targetService);
  }

  prepareEstimate(
    request: ChoiceRequest,
    objectKey: string | undefined,
  ): (known: KnownTarget, rank: number) => RankedTarget {
    const estimator = this.isLearned(request.plan.targetService) ? this.learned : this.latency;
    return estimator.prepareEstimate(request, objectKey);
  }

  /** Like `prepareEstimate`, but changes nothing: for descriptions. */
  prepareDescription(
    request: ChoiceRequest,
    objectKey: string | undefined,
  ): (known: KnownTarget, rank: number) => RankedTarget {
    const estimator = this.isLearned(request.plan.targetService) ? this.learned : this.latency;
    return estimator.prepareDescription(request, objectKey);
  }

  /** Returns the least time until a response, in milliseconds; 0 where it is not learned. */
  estimateLeastMs(request: ChoiceRequest, objectKey: string | undefined): number {
    return this.isLearned(request.plan.targetService)
      ? this.learned.estimateLeastMs(request, objectKey)
      : 0;
  }

  /** Records whether a request that was sent with the given estimate ended before its timeout. */
  recordEnd(request: ChoiceRequest, ranked: RankedTarget, hasEnded: boolean): void {
    this.learned.recordEnd(request, ranked, hasEnded);
  }

  recordResponse(
    request: ChoiceRequest,
    ranked: RankedTarget,
    sent: SentRequest,
    result: AttemptResult,
  ): void {
    const { targetService } = request.plan;
    if (result.load?.workTimeRatio !== undefined) {
      this.pacedServices.add(targetService);
    }
    this.latency.recordResponse(request, ranked, sent, result);
    if (this.isLearned(targetService)) {
      this.learned.recordResponse(request, ranked, sent, result);
    }
  }
}
