/**
 * Hand-over of a request from a silent target to another one.
 *
 * Silence alone is no reason to give up an answer that may still come, so that the silent attempt goes on until
 * another target is ready to take the request.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Choice from '../Choice.js';
import type ChoiceRequest from '../ChoiceRequest.js';
import type TargetChooser from '../TargetChooser.js';

/** Least time between two looks for another target, in milliseconds. */
const SEARCH_INTERVAL_MS = 200;

interface FailoverDependencies {
  readonly chooser: TargetChooser;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Gives a choice back that no attempt was made with. */
function releaseChoice(choice: Choice): void {
  choice.permit.release();
  choice.reportResult({ ended: 'cancelled', status: 0, latencyMs: 0 });
}

/** One a request; `takeRetry` pays for the attempt at the other target. */
export default class Failover {
  private next: Choice | null = null;

  private isSearching = false;

  private isAttemptRunning = false;

  private nextSearchAtMs = -Infinity;

  constructor(
    private readonly parts: FailoverDependencies,
    private readonly choiceRequest: ChoiceRequest,
    private readonly acquireRetry: () => boolean,
  ) {}

  /** Records that an attempt begins. */
  startAttempt(): void {
    this.isAttemptRunning = true;
  }

  /** Records that the attempt has ended; the other target is kept only where its silence ended it. */
  endAttempt(isSilent: boolean): void {
    this.isAttemptRunning = false;
    if (this.next !== null && !isSilent) {
      releaseChoice(this.next);
      this.next = null;
    }
  }

  /** Whether another target is ready; looks for one where none is. */
  isReady(): boolean {
    if (this.next === null && !this.isSearching) {
      this.findTarget().catch((error: unknown) => {
        const { id: requestId } = this.choiceRequest;
        this.parts.logger.error('choice failed', {
          step: 'hand over',
          requestId,
          error: String(error),
        });
      });
    }
    return this.next !== null;
  }

  /** The target that is ready, once. */
  takeChoice(): Choice | null {
    const { next } = this;
    this.next = null;
    return next;
  }

  private async findTarget(): Promise<void> {
    const { clock, chooser } = this.parts;
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
