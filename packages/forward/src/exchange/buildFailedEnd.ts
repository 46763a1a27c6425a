/**
 * The end of an exchange that failed.
 */
import type CancelCause from './CancelCause.js';
import type ExchangeEnd from './ExchangeEnd.js';

type NotSentCause = Extract<ExchangeEnd, { _tag: 'NotSent' }>['cause'];

/** What is known of the exchange when it fails. */
interface FailedExchange extends Pick<ExchangeEnd, 'latencyMs' | 'receivedBytes' | 'load'> {
  /** Whether any part of the request may have been written. */
  readonly isWritten: boolean;
  /** Whether the client refused to write the request. */
  readonly isRefused: boolean;
  readonly cancelCause: CancelCause | null;
  /** Whether any part of a response has been sent to the caller. */
  readonly headSent: boolean;
  /** Status of the target's response; zero if none has arrived. */
  readonly status: number;
  readonly detail: string;
}

function findNotSentCause({ isRefused, cancelCause }: FailedExchange): NotSentCause {
  if (isRefused) {
    return 'refused';
  }
  return cancelCause === null || cancelCause === 'silent' ? 'unreachable' : cancelCause;
}

/** Returns `NotSent` only if no part of the request can have been written. */
export default function buildFailedEnd(exchange: FailedExchange): ExchangeEnd {
  const { isWritten, isRefused, cancelCause, headSent, status, detail, ...measured } = exchange;
  if (!isWritten) {
    return { _tag: 'NotSent', cause: findNotSentCause(exchange), detail, ...measured };
  }
  const cause = cancelCause ?? 'broken';
  return { _tag: 'InDoubt', cause, headSent, status, detail, ...measured };
}
