/**
 * What an exchange tells the attempt that it belongs to.
 */
import type ExchangeEnd from './ExchangeEnd.js';

/** Told exactly once. */
interface ExchangeListener {
  onExchangeEnd(end: ExchangeEnd): void;
}

export default ExchangeListener;
