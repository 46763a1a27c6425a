/**
 * Classification of calls that ended without a response.
 */
import type StoreError from '@burdockcove/types/StoreError';

/** Error codes of failures before a connection existed, so that nothing was sent. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** A write whose request may have been received is `StoreAnswerLost`; any other failure is `StoreUnavailable`. */
export default function interpretGatewayFailure(
  error: unknown,
  step: string,
  peer: string,
  isWrite: boolean,
): StoreError {
  const { code = '' } = error as { readonly code?: string };
  const isUnsent = UNSENT_ERROR_CODES.has(code);
  return {
    _tag: isWrite && !isUnsent ? 'StoreAnswerLost' : 'StoreUnavailable',
    step,
    peer,
    detail: String(error),
  };
}
