/**
 * Admission of requests to targets that are cold, or that may be cold as far as this VM can know.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type TargetStatus from '@burdockcove/targets/TargetStatus';
import type TargetStatusReader from '@burdockcove/targets/TargetStatusReader';
import type Target from '@burdockcove/types/Target';
import type ColdAdmission from './ColdAdmission.js';
import type KnownTarget from './KnownTarget.js';
import StatusChecker from './StatusChecker.js';
import type TargetCatalogue from './TargetCatalogue.js';
import type WarmthEvidence from './WarmthEvidence.js';

const STEP = 'admit requests to a target';
/** A target that leaves serves on for about as long; its entry says so by then if the store can be read. */
const MIN_DEPARTED_MS = 5000;
const DEPARTED_CHECK_INTERVAL_MS = 2500;

interface TargetAdmissionDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly catalogue: TargetCatalogue;
  readonly cold: ColdAdmission;
  readonly evidence: WarmthEvidence;
  readonly reader: TargetStatusReader;
  /** Counts the health checks by outcome. */
  readonly recordCheck: (outcome: string) => void;
}

/** Admits requests at the rate of a cold target unless it is confirmed that the target is warm. */
export default class TargetAdmission {
  private readonly checker: StatusChecker;

  private nextDepartedCheckAtMs = -Infinity;

  constructor(private readonly dependencies: TargetAdmissionDependencies) {
    const { clock, logger, reader, recordCheck } = dependencies;
    this.checker = new StatusChecker({
      clock,
      logger,
      reader,
      recordCheck,
      onStatus: (target, status, sentAtMs) => this.applyStatus(target, status, sentAtMs),
    });
  }

  /** Whether the target is cold as far as is known. */
  isCold(known: KnownTarget): boolean {
    return this.dependencies.cold.isCold(known);
  }

  /** Whether what is known of the target's cold time is confirmed. */
  isConfirmed({ target }: KnownTarget): boolean {
    const { cold, evidence } = this.dependencies;
    return (
      evidence.isConfirmedByState(target.name) ||
      evidence.isConfirmedByCheck(target.name, cold.getUnconfirmedLimit(target))
    );
  }

  /** Whether `tryAdmit` would succeed now; acquires nothing and starts no health check. */
  canAdmit(known: KnownTarget): boolean {
    const { cold } = this.dependencies;
    return (this.isConfirmed(known) && !cold.isCold(known)) || cold.canAdmit(known);
  }

  /** Acquires permission to send one request to the target now; starts a health check if the target is in doubt. */
  tryAdmit(known: KnownTarget): boolean {
    const { cold } = this.dependencies;
    const isConfirmed = this.isConfirmed(known);
    if (!isConfirmed) {
      this.checker.requestCheck(known.target);
    }
    return (isConfirmed && !cold.isCold(known)) || cold.tryAdmit(known);
  }

  /** Records that a request is sent to the target now. Where requests follow closely, the next one is vouched for. */
  recordSent(known: KnownTarget): void {
    const { cold, evidence } = this.dependencies;
    const { target } = known;
    const isConfirmedByCheck = !evidence.isConfirmedByState(target.name) && this.isConfirmed(known);
    cold.recordSent(target.name);
    evidence.recordSent(target.name);
    if (isConfirmedByCheck && !this.isConfirmed(known)) {
      this.checker.requestCheck(target);
    }
  }

  /** Records that a connection to the target failed, or that the target fell silent; it may have restarted. */
  recordFailure({ target: { name } }: KnownTarget): void {
    const { evidence, logger } = this.dependencies;
    if (!evidence.isInDoubt(name)) {
      logger.info('target may have restarted', { step: STEP, peer: name });
    }
    evidence.recordDoubt(name);
  }

  /** Records a response of the target to a request that was sent at the given monotonic time. */
  recordResponse({ target: { name } }: KnownTarget, sentAtMs: number): void {
    const { evidence, catalogue } = this.dependencies;
    if (evidence.resolveDoubt(name, sentAtMs)) {
      catalogue.markCold(name);
    }
  }

  /** Checks targets that left by their own word, but not by the store's: they may have started again since. */
  checkDeparted(service: string): void {
    const { clock, catalogue } = this.dependencies;
    const nowMs = clock.getMonotonicMs();
    if (nowMs >= this.nextDepartedCheckAtMs) {
      this.nextDepartedCheckAtMs = nowMs + DEPARTED_CHECK_INTERVAL_MS;
      catalogue
        .listDeparted(service, MIN_DEPARTED_MS)
        .forEach(({ target }) => this.checker.requestCheck(target));
    }
  }

  private applyStatus(target: Target, { coldMs, isLeaving }: TargetStatus, sentAtMs: number): void {
    const { evidence, catalogue, clock, logger } = this.dependencies;
    const { name } = target;
    if (isLeaving) {
      catalogue.recordLeaving(target, isLeaving);
      return;
    }
    catalogue.forgetLeaving(name, sentAtMs);
    if (coldMs === 0) {
      evidence.recordWarm(name, sentAtMs);
    }
    if (evidence.isInDoubt(name) && coldMs === 0) {
      // The target was checked before it showed a sign of a restart.
      return;
    }
    if (catalogue.setColdMs(name, coldMs)) {
      const checkMs = Math.round(clock.getMonotonicMs() - sentAtMs);
      logger.info('cold time of a target checked', { step: STEP, peer: name, coldMs, checkMs });
    }
  }
}
