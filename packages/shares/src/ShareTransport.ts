/**
 * Calls of the core protocol to another entry VM.
 */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type PeerError from '@burdockcove/types/PeerError';
import type LoanResponse from './LoanResponse.js';
import type LoanUpdate from './LoanUpdate.js';
import type ShareReport from './ShareReport.js';

/** Each call ends within the transport's timeout. A call that failed may still have been carried out. */
interface ShareTransport {
  updateLoans(peerAddress: string, update: LoanUpdate): TaskEither<PeerError, LoanResponse>;
  readShares(peerAddress: string, region: string): TaskEither<PeerError, ShareReport>;
  /** Store revision of the selector's shift record that the peer applied; zero where none is. */
  readShift(peerAddress: string, selector: string): TaskEither<PeerError, number>;
}

export default ShareTransport;
