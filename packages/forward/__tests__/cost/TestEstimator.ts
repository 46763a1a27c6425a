/**
 * An estimator of learned work with a fake clock.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import TargetCatalogue from '@burdockcove/fleet/TargetCatalogue';
import FakeClock from '@burdockcove/runtime/FakeClock';
import type RankedTarget from '../../src/affinity/RankedTarget.js';
import TargetStatsRegistry from '../../src/affinity/TargetStatsRegistry.js';
import type AttemptResult from '../../src/AttemptResult.js';
import type ChoiceRequest from '../../src/ChoiceRequest.js';
import LearnedCostEstimator from '../../src/cost/LearnedCostEstimator.js';
import buildChoiceRequest from '../__fixtures__/buildChoiceRequest.js';
import SERVICE from '../__fixtures__/SERVICE.js';

const SLOTS = 9;

/** A VM with learned estimates. Times are in milliseconds. */
export default class TestEstimator {
  readonly clock = new FakeClock();

  readonly stats = new TargetStatsRegistry(this.clock, new TargetCatalogue(this.clock, () => 0));

  readonly errors: number[] = [];

  readonly estimator = new LearnedCostEstimator({
    clock: this.clock,
    stats: this.stats,
    getRoundTripMs: (region) => (region === 'north' ? 2 : 40),
    recordError: (_service, ratio) => this.errors.push(ratio),
  });

  buildRequest(affinityKey = 'object', changes: Partial<ChoiceRequest> = {}): ChoiceRequest {
    const service = { ...SERVICE, targetLatencyMs: 1000 };
    const nowMs = this.clock.getMonotonicMs();
    return buildChoiceRequest(nowMs, 10_000, { service, affinityKey, ...changes });
  }

  estimate(request: ChoiceRequest, known: KnownTarget, rank = 0): RankedTarget {
    return this.estimator.prepareEstimate(request, request.affinityKey)(known, rank);
  }

  /** Sends a request and has it answered after the latency. */
  async send(
    request: ChoiceRequest,
    known: KnownTarget,
    result: Partial<AttemptResult> & { readonly latencyMs: number },
    rank = 0,
  ): Promise<void> {
    const ranked = this.estimate(request, known, rank);
    const stats = this.stats.getTargetStats(known.target);
    const sent = stats.recordSent(ranked.expectedDurationMs, ranked.waitMs);
    await this.clock.advance(result.latencyMs);
    const full: AttemptResult = {
      ended: 'answered',
      status: 200,
      load: { inFlight: 0, slots: SLOTS, draining: false, workTimeRatio: 1 },
      ...result,
    };
    this.estimator.recordResponse(request, ranked, sent, full);
    stats.recordResult(sent, full, result.latencyMs);
  }
}
