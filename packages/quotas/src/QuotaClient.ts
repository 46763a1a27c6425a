/**
 * Calls to the owners of parts.
 */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type PeerError from '@burdockcove/types/PeerError';
import type PortionAnswer from './PortionAnswer.js';
import type RequestedPortion from './RequestedPortion.js';

/** Implemented for the protocol between entry VMs. */
interface QuotaClient {
  /** Resolves with one answer for each portion, in order. */
  requestPortions(
    address: string,
    portions: readonly RequestedPortion[],
    timeoutMs: number,
  ): TaskEither<PeerError, readonly PortionAnswer[]>;
}

export default QuotaClient;
