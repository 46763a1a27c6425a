/**
 * What the chooser keeps for one service.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import FairQueue from '../admission/FairQueue.js';
import LatencyWindow from '../health/LatencyWindow.js';

/** Half of the requests take longer; a request with less time left is more likely late than not. */
const NEEDED_QUANTILE = 0.5;

/** Lives as long as the process. */
export default class ServiceState {
  readonly queue = new FairQueue();

  readonly latency = new LatencyWindow();

  private isServing = false;

  private mustServeAgain = false;

  /** Time that a request is expected to need once it is sent, in milliseconds; zero where unknown. */
  estimateNeedMs(nowMs: number): number {
    const latency = this.latency.estimateQuantile(nowMs, NEEDED_QUANTILE);
    return isSome(latency) ? latency.value : 0;
  }

  /** Runs `serve` once more for each call that came while it ran, since the ledger may call back from within. */
  runServing(serve: () => void): void {
    this.mustServeAgain = true;
    if (this.isServing) {
      return;
    }
    this.isServing = true;
    while (this.mustServeAgain) {
      this.mustServeAgain = false;
      serve();
    }
    this.isServing = false;
  }
}
