/**
 * Serving side of the core protocol, over Connect.
 */
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect';
import { ShareService } from '@burdockcove/protocol/gen/burdockcove/v1/loans_pb';
import type { MessageVersion } from '@burdockcove/protocol/gen/burdockcove/v1/state_pb';
import SHARE_MESSAGE_MAJOR from './SHARE_MESSAGE_MAJOR.js';
import type ShareEndpoint from './ShareEndpoint.js';

/** Throws `FailedPrecondition` unless the message has the expected major version. */
function checkVersion(version: MessageVersion | undefined): void {
  if (version?.major !== SHARE_MESSAGE_MAJOR) {
    const detail = `expected message version ${SHARE_MESSAGE_MAJOR}, found ${version?.major ?? 'none'}`;
    throw new ConnectError(detail, Code.FailedPrecondition);
  }
}

/** Adds the routes of the share service to the peer server. */
export default function registerShareService(router: ConnectRouter, endpoint: ShareEndpoint): void {
  router.service(ShareService, {
    updateLoans(request) {
      checkVersion(request.version);
      const { renewed, grants } = endpoint.updateLoans(request);
      return { version: request.version, renewed: [...renewed], grants: [...grants] };
    },
    readShares(request) {
      checkVersion(request.version);
      const report = endpoint.reportShares(request.region);
      const planRevision = BigInt(report.planRevision);
      return { version: request.version, ...report, uses: [...report.uses], planRevision };
    },
    readShift(request) {
      checkVersion(request.version);
      const revision = BigInt(endpoint.reportShift(request.selector));
      return { version: request.version, revision };
    },
  });
}
