/**
 * Failover of a request from a silent target to another one.
 *
 * A silent target may still respond, so the attempt continues until another target has been acquired.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Choice from '../Choice.js';
import type ChoiceRequest from '../ChoiceRequest.js';
import type TargetChooser from '../TargetChooser.js';

/** Least time between two searches for another target, in milliseconds. */
const SEARCH_INTERVAL_MS = 200;

interface FailoverDependencies {
  readonly chooser: TargetChooser;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Releases a choice that no attempt was made with. */
function releaseChoice(choice: Choice): void {
  choice.permit.release();
  choice.reportResult({ ended: 'cancelled', status: 0, latencyMs: 0 });
}

/** Created for each request; `acquireRetry` charges the retry budget for the attempt at the other target. */
export default class Failover {
  private next: Choice | null = null;

  private isSearching = false;

  private isAttemptRunning = false;

  private nextSearchAtMs = -Infinity;

  constructor(
    private readonly dependencies: FailoverDependencies,
    private readonly choiceRequest: ChoiceRequest,
    private readonly acquireRetry: () => boolean,
  ) {}

  /** Records that an attempt starts. */
  startAttempt(): void {
    this.isAttemptRunning = true;
  }

  /** Records the end of the attempt; the other target is released unless the attempt ended because of silence. */
  endAttempt(isSilent: boolean): void {
    this.isAttemptRunning = false;
    if (this.next !== null && !isSilent) {
      releaseChoice(this.next);
      this.next = null;
    }
  }

  /** Whether another target has been acquired; starts a search if not. */
  isReady(): boolean {
    if (this.next === null && !this.isSearching) {
      this.findTarget().catch((error: unknown) => {
        const { id: requestId } = this.choiceRequest;
        this.dependencies.logger.error('target selection failed', {
          step: 'hand over',
          requestId,
          error: String(error),
        });
      });
    }
    return this.next !== null;
  }

  /** Returns the acquired target once, then null. */
  takeChoice(): Choice | null {
    const { next } = this;
    this.next = null;
    return next;
  }

  private async findTarget(): Promise<void> {
    const { clock, chooser } = this.dependencies;
    if (clock.getMonotonicMs() < this.nextSearchAtMs) {
      return;
    }
    this.isSearching = true;
    this.nextSearchAtMs = clock.getMonotonicMs() + SEARCH_INTERVAL_MS;
    const choice = await chooser.chooseTarget(this.choiceRequest);
    this.isSearching = false;
    if (isLeft(choice)) {
      return;
    }
    if (this.isAttemptRunning && this.acquireRetry()) {
      this.next = choice.right;
    } else {
      releaseChoice(choice.right);
    }
  }
}
