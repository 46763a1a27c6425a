/**
 * Client side of the core protocol between entry VMs.
 */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type PeerError from '@burdockcove/types/PeerError';
import type LoanResponse from './LoanResponse.js';
import type LoanUpdate from './LoanUpdate.js';
import type ShareReport from './ShareReport.js';

/**
 * Each call completes within the transport's timeout. The peer may have executed a call that
 * failed.
 */
interface ShareTransport {
  updateLoans(peerAddress: string, update: LoanUpdate): TaskEither<PeerError, LoanResponse>;
  readShares(peerAddress: string, region: string): TaskEither<PeerError, ShareReport>;
  /**
   * Store revision of the selector's shift record that the peer has applied; zero if none is
   * applied.
   */
  readShift(peerAddress: string, selector: string): TaskEither<PeerError, number>;
}

export default ShareTransport;
