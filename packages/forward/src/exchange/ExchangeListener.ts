/**
 * Listener for what happens in an exchange.
 */
import type TargetNotice from '@burdockcove/targets/TargetNotice';
import type ExchangeEnd from './ExchangeEnd.js';

/** The end is reported exactly once. */
interface ExchangeListener {
  /** Called with the head of each response of the target, also of one that belongs to another request. */
  onNotice(notice: TargetNotice): void;
  /** Called once, before the first byte of a response is written to the caller. */
  onResponding(): void;
  onExchangeEnd(end: ExchangeEnd): void;
}

export default ExchangeListener;
