/**
 * Burdockcove's own headers for callers.
 */
import type CallerProtocol from './CallerProtocol.js';

/** Callers name a deadline and nothing else. */
export default class DefaultCallerProtocol implements CallerProtocol {
  readonly deadlineHeader = 'burdockcove-deadline-ms';

  readRequestId(): undefined {
    return undefined;
  }

  readAffinityKey(): undefined {
    return undefined;
  }
}
