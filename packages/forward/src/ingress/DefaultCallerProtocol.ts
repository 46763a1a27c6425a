/**
 * The default headers for callers.
 */
import type CallerProtocol from './CallerProtocol.js';

/** Callers can only send a deadline. */
export default class DefaultCallerProtocol implements CallerProtocol {
  readonly deadlineHeader = 'burdockcove-deadline-ms';

  readRequestId(): undefined {
    return undefined;
  }

  readAffinityKey(): undefined {
    return undefined;
  }
}
