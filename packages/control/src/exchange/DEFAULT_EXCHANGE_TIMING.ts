/**
 * Usual times of exchanges.
 */
import type ExchangeTiming from './ExchangeTiming.js';

/** One exchange a second; a lost VM counts as unreachable within about ten seconds. */
const DEFAULT_EXCHANGE_TIMING: ExchangeTiming = {
  intervalMs: 1_000,
  timeoutMs: 1_000,
  failureTimeoutMs: 5_000,
};

export default DEFAULT_EXCHANGE_TIMING;
