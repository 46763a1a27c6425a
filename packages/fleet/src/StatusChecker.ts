/**
 * Health checks of targets about which this VM is in doubt.
 */
import { isLeft, type Either } from 'fp-ts/lib/Either.js';
import BoundedMap from '@burdockcove/runtime/BoundedMap';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type TargetStatus from '@burdockcove/targets/TargetStatus';
import type TargetStatusReader from '@burdockcove/targets/TargetStatusReader';
import type PeerError from '@burdockcove/types/PeerError';
import type Target from '@burdockcove/types/Target';

const STEP = 'check a target';
/** Time without checks of a target after one that failed. */
const FAILURE_BACKOFF_MS = 250;
const MAX_TRACKED_TARGETS = 4096;

type CheckOutcome = 'warm' | 'cold' | 'failed' | 'other-target';

interface StatusCheckerDependencies {
  readonly clock: Clock;
  readonly reader: TargetStatusReader;
  readonly logger: Logger;
  /** Counts the checks by outcome. */
  readonly recordCheck: (outcome: CheckOutcome) => void;
  /** Called with the status of the intended target and the monotonic time at which the check was sent. */
  readonly onStatus: (target: Target, status: TargetStatus, sentAtMs: number) => void;
}

/** Runs at most one check of each target at a time. */
export default class StatusChecker {
  private readonly running = new Set<string>();

  /** Monotonic times in milliseconds until which targets are not checked. */
  private readonly backoffUntilMs = new BoundedMap<string, number>(MAX_TRACKED_TARGETS);

  constructor(private readonly dependencies: StatusCheckerDependencies) {}

  /** Starts a check of the target unless one is running or the last one has just failed. */
  requestCheck(target: Target): void {
    const { clock, logger } = this.dependencies;
    const { name } = target;
    const backoffUntilMs = this.backoffUntilMs.get(name) ?? -Infinity;
    if (this.running.has(name) || clock.getMonotonicMs() < backoffUntilMs) {
      return;
    }
    this.running.add(name);
    this.check(target)
      .catch((error: unknown) => {
        logger.error('health check ended unexpectedly', {
          step: STEP,
          peer: name,
          error: String(error),
        });
      })
      .finally(() => this.running.delete(name));
  }

  private async check(target: Target): Promise<void> {
    const { clock, reader, onStatus, recordCheck } = this.dependencies;
    const sentAtMs = clock.getMonotonicMs();
    const result = await reader.readStatus(target)();
    const outcome = this.classify(target, result);
    recordCheck(outcome);
    if (isLeft(result) || outcome === 'other-target') {
      this.handleFailure(target, outcome, isLeft(result) ? result.left.detail : '');
      return;
    }
    onStatus(target, result.right, sentAtMs);
  }

  private classify({ name }: Target, result: Either<PeerError, TargetStatus>): CheckOutcome {
    if (isLeft(result)) {
      return 'failed';
    }
    if (result.right.name !== name) {
      return 'other-target';
    }
    return result.right.coldMs > 0 ? 'cold' : 'warm';
  }

  private handleFailure({ name, address }: Target, outcome: CheckOutcome, detail: string): void {
    const { clock, logger } = this.dependencies;
    this.backoffUntilMs.set(name, clock.getMonotonicMs() + FAILURE_BACKOFF_MS);
    logger.info('health check failed', { step: STEP, peer: name, address, outcome, detail });
  }
}
