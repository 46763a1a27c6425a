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
const LOOK_INTERVAL_MS = 200;

interface HandOverParts {
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
export default class HandOver {
  private next: Choice | null = null;

  private isLooking = false;

  private isOpen = false;

  private lookAgainAtMs = -Infinity;

  constructor(
    private readonly parts: HandOverParts,
    private readonly wish: ChoiceRequest,
    private readonly takeRetry: () => boolean,
  ) {}

  /** Records that an attempt begins. */
  open(): void {
    this.isOpen = true;
  }

  /** Records that the attempt has ended; the other target is kept only where its silence ended it. */
  close(isSilent: boolean): void {
    this.isOpen = false;
    if (this.next !== null && !isSilent) {
      releaseChoice(this.next);
      this.next = null;
    }
  }

  /** Whether another target is ready; looks for one where none is. */
  isReady(): boolean {
    if (this.next === null && !this.isLooking) {
      this.look().catch((error: unknown) => {
        const { id: requestId } = this.wish;
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
  take(): Choice | null {
    const { next } = this;
    this.next = null;
    return next;
  }

  private async look(): Promise<void> {
    const { clock, chooser } = this.parts;
    if (clock.getMonotonicMs() < this.lookAgainAtMs) {
      return;
    }
    this.isLooking = true;
    this.lookAgainAtMs = clock.getMonotonicMs() + LOOK_INTERVAL_MS;
    const choice = await chooser.chooseTarget(this.wish);
    this.isLooking = false;
    if (isLeft(choice)) {
      return;
    }
    if (this.isOpen && this.takeRetry()) {
      this.next = choice.right;
    } else {
      releaseChoice(choice.right);
    }
  }
}
