/**
 * What a failed exchange means for the caller.
 */
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type NotRunReason from '@burdockcove/types/NotRunReason';
import type ExchangeEnd from './ExchangeEnd.js';

type Failed = Exclude<ExchangeEnd, { _tag: 'Answered' }>;
type NotSentCause = Extract<ExchangeEnd, { _tag: 'NotSent' }>['cause'];

const REASONS: Readonly<Record<NotSentCause, NotRunReason>> = {
  unreachable: 'target-unreachable',
  deadline: 'deadline',
  'caller-gone': 'deadline',
  refused: 'malformed',
};

/** `NotRun` only where nothing was written or the target said so itself. */
export default function describeEnd(end: Failed, peer: string): RequestFailure {
  switch (end._tag) {
    case 'Shed':
      return {
        _tag: 'NotRun',
        reason: 'target-shed',
        step: 'exchange',
        peer,
        detail: 'the target refused the request without running it',
      };
    case 'NotSent': {
      const { detail } = end;
      return { _tag: 'NotRun', reason: REASONS[end.cause], step: 'connect', peer, detail };
    }
    default: {
      const timedOut = end.cause === 'deadline' || end.cause === 'silent';
      return { _tag: 'Unknown', timedOut, step: 'exchange', peer, detail: end.detail };
    }
  }
}
