/**
 * Refusal of messages of an unknown version.
 */
import { Code, ConnectError } from '@connectrpc/connect';
import type { MessageVersion } from '@burdockcove/protocol/gen/burdockcove/v1/state_pb';
import CONTROL_MESSAGE_MAJOR from './CONTROL_MESSAGE_MAJOR.js';

/** Throws a `ConnectError` with code `failed_precondition` for an unknown or absent major version. */
export default function checkMessageVersion(version: MessageVersion | undefined): void {
  if (version?.major !== CONTROL_MESSAGE_MAJOR) {
    const found = version?.major ?? 'none';
    const detail = `expected message version ${CONTROL_MESSAGE_MAJOR}, found ${found}`;
    throw new ConnectError(detail, Code.FailedPrecondition);
  }
}
