/**
 * Classification of the gateway's HTTP statuses.
 */
import type StoreError from '@burdockcove/types/StoreError';

const BAD_REQUEST = 400;
const TOO_MANY_REQUESTS = 429;

/** 400 and 429 mean that the call had no effect; after any other status a write may have taken effect. */
export default function interpretGatewayStatus(
  status: number,
  step: string,
  peer: string,
  isWrite: boolean,
): StoreError {
  const detail = `status ${status}`;
  if (status === BAD_REQUEST || status === TOO_MANY_REQUESTS) {
    return { _tag: 'StoreRefused', step, peer, detail };
  }
  return { _tag: isWrite ? 'StoreAnswerLost' : 'StoreUnavailable', step, peer, detail };
}
