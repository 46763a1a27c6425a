/**
 * Client side of the core protocol between entry VMs, over Connect.
 */
import { create } from '@bufbuild/protobuf';
import { createClient, type Client } from '@connectrpc/connect';
import { tryCatch, type TaskEither } from 'fp-ts/lib/TaskEither.js';
import {
  ShareService,
  UpdateLoansRequestSchema,
} from '@burdockcove/protocol/gen/burdockcove/v1/loans_pb';
import type PeerTransports from '@burdockcove/protocol/PeerTransports';
import type PeerError from '@burdockcove/types/PeerError';
import type LoanResponse from './LoanResponse.js';
import type LoanUpdate from './LoanUpdate.js';
import SHARE_MESSAGE_MAJOR from './SHARE_MESSAGE_MAJOR.js';
import type ShareReport from './ShareReport.js';
import type ShareTransport from './ShareTransport.js';

const CALL_TIMEOUT_MS = 1_000;

const CALL_OPTIONS = { timeoutMs: CALL_TIMEOUT_MS };

const VERSION = { major: SHARE_MESSAGE_MAJOR };

/** Reports every failure as `PeerUnreachable`; the peer may nevertheless have executed the call. */
export default class ConnectShareTransport implements ShareTransport {
  constructor(private readonly transports: PeerTransports) {}

  updateLoans(peerAddress: string, update: LoanUpdate): TaskEither<PeerError, LoanResponse> {
    return this.callPeer('update-loans', peerAddress, async (client) => {
      const request = create(UpdateLoansRequestSchema, {
        ...update,
        version: VERSION,
        returned: [...update.returned],
        renewed: [...update.renewed],
        targets: [...update.targets],
      });
      const { renewed, grants } = await client.updateLoans(request, CALL_OPTIONS);
      return { renewed, grants };
    });
  }

  readShares(peerAddress: string, region: string): TaskEither<PeerError, ShareReport> {
    return this.callPeer('read-shares', peerAddress, async (client) => {
      const report = await client.readShares({ version: VERSION, region }, CALL_OPTIONS);
      return { ...report, planRevision: Number(report.planRevision) };
    });
  }

  readShift(peerAddress: string, selector: string): TaskEither<PeerError, number> {
    return this.callPeer('read-shift', peerAddress, async (client) => {
      const report = await client.readShift({ version: VERSION, selector }, CALL_OPTIONS);
      return Number(report.revision);
    });
  }

  private callPeer<A>(
    step: string,
    peer: string,
    call: (client: Client<typeof ShareService>) => Promise<A>,
  ): TaskEither<PeerError, A> {
    return tryCatch(
      () => call(createClient(ShareService, this.transports.getTransport(peer))),
      (error) => ({ _tag: 'PeerUnreachable', step, peer, detail: String(error) }),
    );
  }
}
