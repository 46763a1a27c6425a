/**
 * How a request can fail inside burdockcove.
 */
import type NotRunReason from './NotRunReason.js';

/** `NotRun` is proven; `Unknown` means that a target may have run the request. */
type RequestFailure =
  | {
      readonly _tag: 'NotRun';
      /** When the caller may come back, in milliseconds; absent: the usual delay. */
      readonly retryAfterMs?: number;
      /** Fields of the log line that the caller is not told. */
      readonly logFields?: Readonly<Record<string, unknown>>;
      readonly reason: NotRunReason;
      readonly step: string;
      readonly peer: string;
      readonly detail: string;
    }
  | {
      readonly _tag: 'Unknown';
      readonly timedOut: boolean;
      readonly step: string;
      readonly peer: string;
      readonly detail: string;
    };

export default RequestFailure;
