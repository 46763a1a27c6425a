/**
 * Refusals of requests for which there is no target, with a `Retry-After` time.
 */
import type Random from '@burdockcove/runtime/Random';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import makeNotRun from '../makeNotRun.js';

const STEP = 'choose a target';
/** Lower bound of the `Retry-After` time of a refusal, in milliseconds. */
const MIN_RETRY_AFTER_MS = 300;
/** Random time added to `Retry-After`, up to this many milliseconds, so that callers do not retry together. */
const RETRY_AFTER_JITTER_MS = 400;
/** Share of the expected time until capacity over which the callers that were refused for it are spread. */
const CAPACITY_SPREAD_SHARE = 0.5;
/** Share of a pause over whose length the callers that waited for its end are spread. */
const PAUSE_SPREAD_SHARE = 0.5;

/** Times are in milliseconds. */
export default class RefusalFactory {
  constructor(private readonly random: Random) {}

  /** Returns the refusal where every target is busy; `waitMs` is the expected time until one is not. */
  createBusy(waitMs: number): RequestFailure {
    const detail = 'every target that may take the request is busy';
    return this.createRefusal('region-full', waitMs, detail);
  }

  /** Returns the refusal where the response would come after the timeout, at the earliest by `excessMs`. */
  createNotInTime(excessMs: number): RequestFailure {
    const spreadMs = CAPACITY_SPREAD_SHARE * excessMs * this.random.nextFloat();
    const detail = 'no target is expected to respond before the timeout';
    return this.createRefusal('not-in-time', excessMs + spreadMs, detail);
  }

  /**
   * Refuses until the first target that asked for a pause takes requests again, in `pauseMs`, and spreads callers over
   * the time after; `pauseMs` is Infinity if no target asked for a pause.
   */
  createWithoutTarget(pauseMs: number): RequestFailure {
    if (!Number.isFinite(pauseMs)) {
      return this.createRefusal('no-target', MIN_RETRY_AFTER_MS, 'no target may take the request');
    }
    const spreadMs = PAUSE_SPREAD_SHARE * pauseMs * this.random.nextFloat();
    const detail = 'every target that may take the request asked for a pause';
    return this.createRefusal('no-target', pauseMs + spreadMs, detail);
  }

  private createRefusal(
    reason: 'no-target' | 'region-full' | 'not-in-time',
    waitMs: number,
    detail: string,
  ): RequestFailure {
    const jitterMs = RETRY_AFTER_JITTER_MS * this.random.nextFloat();
    const retryAfterMs = Math.round(Math.max(MIN_RETRY_AFTER_MS, waitMs) + jitterMs);
    return { ...makeNotRun(reason, STEP, '', detail), retryAfterMs };
  }
}
