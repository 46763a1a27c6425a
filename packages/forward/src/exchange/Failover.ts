/**
 * Search for another target beside a silent one.
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

  private isOpen = false;

  private nextSearchAtMs = -Infinity;

  constructor(
    private readonly dependencies: FailoverDependencies,
    private readonly choiceRequest: ChoiceRequest,
    private readonly acquireRetry: () => boolean,
  ) {}

  /** Allows searches until `close` is called. */
  open(): void {
    this.isOpen = true;
  }

  /** Releases a target that was found and not taken. */
  close(): void {
    this.isOpen = false;
    if (this.next !== null) {
      releaseChoice(this.next);
      this.next = null;
    }
  }

  /** Returns another target once it has been found; starts a search if none is known. */
  takeChoice(): Choice | null {
    const { next } = this;
    this.next = null;
    if (next === null && !this.isSearching) {
      this.findTarget().catch((error: unknown) => {
        const { id: requestId } = this.choiceRequest;
        this.dependencies.logger.error('target selection failed', {
          step: 'hand over',
          requestId,
          error: String(error),
        });
      });
    }
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
    if (this.isOpen && this.acquireRetry()) {
      this.next = choice.right;
    } else {
      releaseChoice(choice.right);
    }
  }
}
