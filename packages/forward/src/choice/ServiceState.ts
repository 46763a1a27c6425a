/**
 * The chooser's queue and latency statistics for one service.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import FairQueue from '../admission/FairQueue.js';
import LatencyWindow from '../health/LatencyWindow.js';

/** The median: a request with less time left is more likely to miss its deadline than to meet it. */
const EXPECTED_DURATION_QUANTILE = 0.5;

/** Kept for the lifetime of the process. */
export default class ServiceState {
  readonly queue = new FairQueue();

  readonly latency = new LatencyWindow();

  private isRunning = false;

  private mustRunAgain = false;

  /** Expected duration of a request once it is sent, in milliseconds; zero if unknown. */
  estimateRequestDurationMs(nowMs: number): number {
    const latency = this.latency.estimateQuantile(nowMs, EXPECTED_DURATION_QUANTILE);
    return isSome(latency) ? latency.value : 0;
  }

  /**
   * Runs `task`, but never within itself: a call made during a run makes it run once more afterwards. The slot ledger may
   * call back from within a run.
   */
  runExclusively(task: () => void): void {
    this.mustRunAgain = true;
    if (this.isRunning) {
      return;
    }
    this.isRunning = true;
    while (this.mustRunAgain) {
      this.mustRunAgain = false;
      task();
    }
    this.isRunning = false;
  }
}
