/**
 * The failure that a caller gets for a failed exchange.
 */
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type NotRunReason from '@burdockcove/types/NotRunReason';
import hasFreeSlots from '../hasFreeSlots.js';
import makeNotRun from '../makeNotRun.js';
import makeStopRefusal from '../drain/makeStopRefusal.js';
import type ExchangeEnd from './ExchangeEnd.js';

type Failed = Exclude<ExchangeEnd, { _tag: 'Answered' }>;
type NotSentCause = Exclude<Extract<ExchangeEnd, { _tag: 'NotSent' }>['cause'], 'stopping'>;

const REASONS: Readonly<Record<NotSentCause, NotRunReason>> = {
  unreachable: 'target-unreachable',
  'target-unavailable': 'no-target',
  deadline: 'deadline',
  'caller-gone': 'deadline',
  superseded: 'deadline',
  refused: 'malformed',
  'body-too-large': 'body-too-large',
};

const SHED_DETAIL = 'the target refused the request without running it';
/** A target that is not full may accept the next request. */
const NOT_FULL_RETRY_MS = 30;
/** About the time in which a full target completes some of its requests. */
const FULL_RETRY_MS = 400;
/** Another target will be chosen. */
const UNREACHABLE_RETRY_MS = 30;

/** Returns `NotRun` only if nothing was written or the target reported it. */
export default function buildRequestFailure(end: Failed, peer: string): RequestFailure {
  switch (end._tag) {
    case 'Shed':
      return {
        ...makeNotRun('target-shed', 'exchange', peer, SHED_DETAIL),
        retryAfterMs: hasFreeSlots(end) ? NOT_FULL_RETRY_MS : FULL_RETRY_MS,
      };
    case 'NotSent': {
      if (end.cause === 'stopping') {
        return makeStopRefusal('connect', peer, end.detail);
      }
      const failure = makeNotRun(REASONS[end.cause], 'connect', peer, end.detail);
      return { ...failure, retryAfterMs: UNREACHABLE_RETRY_MS };
    }
    default: {
      const timedOut = end.cause === 'deadline' || end.cause === 'silent';
      return { _tag: 'Unknown', timedOut, step: 'exchange', peer, detail: end.detail };
    }
  }
}
