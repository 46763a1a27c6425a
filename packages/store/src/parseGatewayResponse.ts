/**
 * Parsing of the gateway's responses.
 */
import * as E from 'fp-ts/lib/Either.js';
import type StoreError from '@burdockcove/types/StoreError';
import type GatewayCall from './GatewayCall.js';

/** Returns the parsed response; after an invalid response to a write the outcome is unknown (`StoreAnswerLost`). */
export default function parseGatewayResponse<A>(
  text: string,
  peer: string,
  call: GatewayCall<A>,
): E.Either<StoreError, A> {
  const parsed = E.tryCatch(
    () => call.responseSchema.parse(JSON.parse(text)),
    (error): StoreError => ({
      _tag: call.isWrite ? 'StoreAnswerLost' : 'StoreMalformed',
      step: call.step,
      peer,
      detail: `unreadable answer: ${String(error)}`,
    }),
  );
  return parsed;
}
