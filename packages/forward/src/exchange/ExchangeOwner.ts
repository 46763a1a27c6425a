/**
 * What an exchange tells the attempt that it belongs to.
 */
import type ExchangeEnd from './ExchangeEnd.js';

/** Told exactly once. */
interface ExchangeOwner {
  settleExchange(end: ExchangeEnd): void;
}

export default ExchangeOwner;
