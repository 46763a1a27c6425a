/**
 * Listener for the end of an exchange.
 */
import type ExchangeEnd from './ExchangeEnd.js';

/** Called exactly once. */
interface ExchangeListener {
  onExchangeEnd(end: ExchangeEnd): void;
}

export default ExchangeListener;
