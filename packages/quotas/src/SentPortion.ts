/**
 * The answer to a request for a portion.
 */
import type { Either } from 'fp-ts/lib/Either.js';
import type PeerError from '@burdockcove/types/PeerError';
import type AskedAt from './AskedAt.js';
import type PortionAnswer from './PortionAnswer.js';

/** Left if the owner did not answer. */
interface SentPortion {
  readonly answer: Either<PeerError, PortionAnswer>;
  /** When the call started. */
  readonly askedAt: AskedAt;
}

export default SentPortion;
