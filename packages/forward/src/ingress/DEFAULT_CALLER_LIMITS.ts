/**
 * Usual limits on callers.
 */
import type CallerLimits from './CallerLimits.js';

/** Fit for small VMs without a balancer before them. */
const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 60_000,
  keepAliveTimeoutMs: 5000,
  checkIntervalMs: 1000,
  maxConnections: 10_000,
};

export default DEFAULT_CALLER_LIMITS;
