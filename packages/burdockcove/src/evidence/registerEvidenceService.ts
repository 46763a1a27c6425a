/**
 * The serving side of evidence over Connect.
 */
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect';
import { EvidenceService } from '@burdockcove/protocol/gen/burdockcove/v1/evidence_pb';
import EVIDENCE_MESSAGE_MAJOR from './EVIDENCE_MESSAGE_MAJOR.js';
import type OutcomeWindow from './OutcomeWindow.js';

/** Adds the service's routes to the peer server. */
export default function registerEvidenceService(
  router: ConnectRouter,
  window: OutcomeWindow,
): void {
  router.service(EvidenceService, {
    readOutcomes({ version, service, withinMs }) {
      if (version?.major !== EVIDENCE_MESSAGE_MAJOR) {
        const found = version?.major ?? 'none';
        const detail = `expected message version ${EVIDENCE_MESSAGE_MAJOR}, found ${found}`;
        throw new ConnectError(detail, Code.FailedPrecondition);
      }
      return { version, ...window.sumOutcomes(service, withinMs) };
    },
  });
}
