/**
 * The end of an exchange as the result of an attempt.
 */
import type AttemptResult from '../AttemptResult.js';
import type ExchangeEnd from './ExchangeEnd.js';

function classifyCause(end: Extract<ExchangeEnd, { cause: unknown }>): AttemptResult['ended'] {
  switch (end.cause) {
    case 'caller-gone':
    case 'superseded':
    case 'stopping':
    case 'target-unavailable':
    case 'refused':
    case 'body-too-large':
      return 'cancelled';
    case 'deadline':
    case 'silent':
      return 'timed-out';
    default:
      return end.cause;
  }
}

/** Returns the result that is recorded for the target. */
export default function classifyExchangeEnd(end: ExchangeEnd): AttemptResult['ended'] {
  switch (end._tag) {
    case 'Answered':
      return 'answered';
    case 'Shed':
      return end.isMisdirected ? 'misdirected' : 'shed';
    default:
      return classifyCause(end);
  }
}
