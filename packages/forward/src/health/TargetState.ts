/**
 * What this entry VM knows about one target.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import type Random from '@burdockcove/runtime/Random';
import type AttemptResult from '../AttemptResult.js';
import LatencyWindow from './LatencyWindow.js';
import OutlierDetector from './OutlierDetector.js';
import ReportedLoad from './ReportedLoad.js';
import ShedBackoff from './ShedBackoff.js';
import SlowStart from './SlowStart.js';

/** A timeout counts as a failure only from this multiple of the target's median latency on. */
const SLOW_LATENCY_FACTOR = 3;
/** The limit where the target's latency is unknown. */
const DEFAULT_SLOW_LATENCY_MS = 1_000;

type ConditionChange = 'none' | 'ejected' | 'recovered';

/** What this VM observes itself (requests in flight, latencies, failures) takes precedence over the target's reports. */
export default class TargetState {
  inFlight = 0;

  readonly latency = new LatencyWindow();

  readonly outlierDetector = new OutlierDetector();

  readonly reportedLoad = new ReportedLoad();

  readonly slowStart = new SlowStart();

  readonly shedBackoff: ShedBackoff;

  constructor(random: Random) {
    this.shedBackoff = new ShedBackoff(random);
  }

  /** Returns the load, from 0 up: own requests plus those reported of others, as a share of the target's slots. */
  estimateLoad(nowMs: number, slots: number): number {
    return this.inFlight / Math.max(1, slots) + this.reportedLoad.estimateOthersShare(nowMs, slots);
  }

  /** Records the result of an exchange; returns whether it ejected the target or showed its recovery. */
  recordResult(nowMs: number, result: AttemptResult, slots: number): ConditionChange {
    this.slowStart.recordEnd(nowMs, result.latencyMs, slots);
    switch (result.ended) {
      case 'answered':
        return this.recordResponse(nowMs, result);
      case 'shed':
        this.shedBackoff.recordShed(nowMs);
        return 'none';
      case 'cancelled':
        this.recordCancelled(nowMs, result.latencyMs);
        return 'none';
      case 'timed-out':
        return this.recordTimeout(nowMs, result.latencyMs);
      default:
        return this.outlierDetector.recordFailure(nowMs) ? 'ejected' : 'none';
    }
  }

  private recordResponse(nowMs: number, result: AttemptResult): ConditionChange {
    this.shedBackoff.recordResponse();
    if (result.status >= 500) {
      return this.outlierDetector.recordErrorResponse(nowMs) ? 'ejected' : 'none';
    }
    this.latency.record(nowMs, result.latencyMs);
    if (!this.outlierDetector.recordSuccess()) {
      return 'none';
    }
    this.slowStart.start(nowMs);
    return 'recovered';
  }

  /** Ignores an early cancellation, which says nothing about the target; a late one shows that the target is slow. */
  private recordCancelled(nowMs: number, latencyMs: number): void {
    if (this.isSlow(nowMs, latencyMs)) {
      this.latency.record(nowMs, latencyMs);
    }
  }

  private recordTimeout(nowMs: number, latencyMs: number): ConditionChange {
    if (!this.isSlow(nowMs, latencyMs)) {
      return 'none';
    }
    this.latency.record(nowMs, latencyMs);
    return this.outlierDetector.recordFailure(nowMs) ? 'ejected' : 'none';
  }

  private isSlow(nowMs: number, latencyMs: number): boolean {
    const median = this.latency.estimateQuantile(nowMs, 0.5);
    return (
      latencyMs >= (isSome(median) ? SLOW_LATENCY_FACTOR * median.value : DEFAULT_SLOW_LATENCY_MS)
    );
  }
}
