/**
 * A request that waits for a portion.
 */
import type { Either } from 'fp-ts/lib/Either.js';
import type QuotaPermit from '@burdockcove/forward/admission/QuotaPermit';
import type RequestFailure from '@burdockcove/types/RequestFailure';

/** Settled once. */
interface WaitingRequest {
  readonly settle: (result: Either<RequestFailure, QuotaPermit>) => void;
}

export default WaitingRequest;
