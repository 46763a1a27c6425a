/**
 * Estimates from one moving average of latencies for each service and target service, and counts of requests in flight.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import type Candidate from '../affinity/Candidate.js';
import computeCostMs from '../affinity/computeCostMs.js';
import computeWaitMs from '../affinity/computeWaitMs.js';
import computeWorkFactor from '../affinity/computeWorkFactor.js';
import type RankedTarget from '../affinity/RankedTarget.js';
import type SentRequest from '../affinity/SentRequest.js';
import type TargetStats from '../affinity/TargetStats.js';
import type TargetStatsRegistry from '../affinity/TargetStatsRegistry.js';
import type AttemptResult from '../AttemptResult.js';
import type ChoiceRequest from '../ChoiceRequest.js';
import type CostEstimator from './CostEstimator.js';

/** Used where targets report no pace. */
export default class LatencyCostEstimator implements CostEstimator {
  /** `getRoundTripMs` returns the round-trip time to the region in milliseconds. */
  constructor(
    private readonly stats: TargetStatsRegistry,
    private readonly getRoundTripMs: (region: string) => number,
  ) {}

  prepareEstimate(
    request: ChoiceRequest,
    objectKey: string | undefined,
  ): (known: KnownTarget, rank: number) => RankedTarget {
    const meanLatencyMs = this.stats.getLatencyAverage(request).getMeanMs();
    return (known, rank) => {
      const stats = this.stats.getTargetStats(known.target);
      return this.estimate({ known, rank, objectKey }, stats, meanLatencyMs);
    };
  }

  /** Like `prepareEstimate`, but changes nothing: for descriptions. */
  prepareDescription(
    request: ChoiceRequest,
    objectKey: string | undefined,
  ): (known: KnownTarget, rank: number) => RankedTarget {
    const meanLatencyMs = this.stats.findLatencyAverage(request).getMeanMs();
    return (known, rank) => {
      const stats = this.stats.findTargetStats(known.target);
      return this.estimate({ known, rank, objectKey }, stats, meanLatencyMs);
    };
  }

  private estimate(
    { known, rank, objectKey }: Pick<RankedTarget, 'known' | 'rank' | 'objectKey'>,
    stats: TargetStats,
    meanLatencyMs: number,
  ): RankedTarget {
    const candidate: Candidate = {
      rank,
      isWarm: objectKey !== undefined && stats.warmObjects.has(objectKey),
      slots: known.target.slots,
      inFlight: stats.estimateInFlight(),
      slowdown: stats.estimateSlowdown(),
      roundTripMs: this.getRoundTripMs(known.region),
    };
    const { isWarm } = candidate;
    const costMs = computeCostMs(candidate, meanLatencyMs);
    const waitMs = computeWaitMs(candidate, meanLatencyMs);
    const expectedDurationMs = meanLatencyMs * computeWorkFactor(candidate);
    return { known, rank, objectKey, isWarm, costMs, waitMs, expectedDurationMs };
  }

  recordResponse(
    request: ChoiceRequest,
    _ranked: RankedTarget,
    _sent: SentRequest,
    { latencyMs }: AttemptResult,
  ): void {
    this.stats.getLatencyAverage(request).record(latencyMs);
  }
}
