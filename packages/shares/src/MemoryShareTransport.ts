/**
 * Calls of the core protocol inside one process, for tests and simulations.
 */
import { left, right } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type PeerError from '@burdockcove/types/PeerError';
import type LoanAnswer from './LoanAnswer.js';
import type LoanUpdate from './LoanUpdate.js';
import type ShareEndpoint from './ShareEndpoint.js';
import type ShareReport from './ShareReport.js';
import type ShareTransport from './ShareTransport.js';

/** Carries one message to the peer: resolves false where it is lost on the way. */
type Carrier = (peerAddress: string, way: 'there' | 'back') => Promise<boolean>;

/** The carrier delays and loses messages. */
export default class MemoryShareTransport implements ShareTransport {
  constructor(
    private readonly findEndpoint: (peerAddress: string) => ShareEndpoint | undefined,
    private readonly carry: Carrier,
  ) {}

  updateLoans(peerAddress: string, update: LoanUpdate): TaskEither<PeerError, LoanAnswer> {
    return this.callPeer('update-loans', peerAddress, (peer) => peer.updateLoans(update));
  }

  readShares(peerAddress: string, region: string): TaskEither<PeerError, ShareReport> {
    return this.callPeer('read-shares', peerAddress, (peer) => peer.reportShares(region));
  }

  readShift(peerAddress: string, selector: string): TaskEither<PeerError, number> {
    return this.callPeer('read-shift', peerAddress, (peer) => peer.reportShift(selector));
  }

  private callPeer<A>(
    step: string,
    peer: string,
    call: (endpoint: ShareEndpoint) => A,
  ): TaskEither<PeerError, A> {
    const lost = left({ _tag: 'PeerUnreachable', step, peer, detail: 'message lost' } as const);
    return async () => {
      const arrived = await this.carry(peer, 'there');
      const endpoint = this.findEndpoint(peer);
      if (!arrived || endpoint === undefined) {
        return lost;
      }
      const answer = call(endpoint);
      return (await this.carry(peer, 'back')) ? right(answer) : lost;
    };
  }
}
