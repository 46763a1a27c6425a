/**
 * Calls of the core protocol over the virtual network.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type PeerError from '@burdockcove/types/PeerError';
import type LoanResponse from '@burdockcove/shares/LoanResponse';
import type LoanUpdate from '@burdockcove/shares/LoanUpdate';
import type ShareEndpoint from '@burdockcove/shares/ShareEndpoint';
import type ShareReport from '@burdockcove/shares/ShareReport';
import type ShareTransport from '@burdockcove/shares/ShareTransport';
import type VirtualNetwork from './VirtualNetwork.js';
import type VirtualProcess from './VirtualProcess.js';

const CALL_TIMEOUT_MS = 1_000;

/** Where a call arrives. */
interface VirtualPeer {
  readonly process: VirtualProcess;
  readonly endpoint: ShareEndpoint;
}

/** A call whose caller gave up may still be carried out later. */
export default class VirtualTransport implements ShareTransport {
  constructor(
    private readonly address: string,
    private readonly process: VirtualProcess,
    private readonly network: VirtualNetwork,
    private readonly findPeer: (address: string) => VirtualPeer | undefined,
  ) {}

  updateLoans(peerAddress: string, update: LoanUpdate): TaskEither<PeerError, LoanResponse> {
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
    return () =>
      new Promise<Either<PeerError, A>>((resolve) => {
        const detail = 'no answer in time';
        const timer = this.process.startTimer(CALL_TIMEOUT_MS, () =>
          resolve(left({ _tag: 'PeerUnreachable', step, peer, detail })),
        );
        this.sendCall(peer, call, (answer) => {
          timer.cancel();
          resolve(right(answer));
        });
      });
  }

  private sendCall<A>(
    peer: string,
    call: (endpoint: ShareEndpoint) => A,
    settle: (answer: A) => void,
  ): void {
    this.network.carry(this.address, peer, () => {
      const found = this.findPeer(peer);
      found?.process.deliver(() => {
        const answer = call(found.endpoint);
        this.network.carry(peer, this.address, () => this.process.deliver(() => settle(answer)));
      });
    });
  }
}
