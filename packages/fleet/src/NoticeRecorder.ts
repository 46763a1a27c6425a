/**
 * Records what targets say of themselves, with a log line each time.
 */
import type Logger from '@burdockcove/runtime/Logger';
import type TargetAvailability from '@burdockcove/targets/TargetAvailability';
import type TargetNotice from '@burdockcove/targets/TargetNotice';
import type Target from '@burdockcove/types/Target';
import type TargetCatalogue from './TargetCatalogue.js';

const STEP = 'read what a target says of itself';
/** A longer pause would rather be a fault of the target. */
const MAX_PAUSE_MS = 600_000;

type NoticeKind = 'leaving' | 'pause' | 'unreadable';

/** The catalogue holds what is recorded. */
export default class NoticeRecorder implements TargetAvailability {
  constructor(
    private readonly catalogue: TargetCatalogue,
    private readonly logger: Logger,
    private readonly countNotice: (kind: NoticeKind) => void,
  ) {}

  recordNotice(target: Target, { isLeaving, pauseMs: askedMs, fault }: TargetNotice): void {
    const { name: peer, address } = target;
    const pauseMs = Math.min(askedMs, MAX_PAUSE_MS);
    if (this.catalogue.recordLeaving(target, isLeaving)) {
      this.countNotice('leaving');
      this.logger.info('target says that it is leaving', { step: STEP, peer, address });
    }
    if (pauseMs > 0) {
      this.catalogue.recordPause(target, pauseMs);
      this.countNotice('pause');
      const detail = { step: STEP, peer, address, askedMs, pauseMs };
      this.logger.info('target asks for a pause', detail);
    }
    if (fault !== undefined) {
      this.countNotice('unreadable');
      this.logger.warn('notice of a target cannot be read', { step: STEP, peer, address, fault });
    }
  }

  isAvailable({ name }: Target): boolean {
    const known = this.catalogue.findUsable(name);
    return known !== undefined && this.catalogue.getPauseMs(known) <= 0;
  }
}
