/**
 * Default limits for callers.
 */
import type CallerLimits from './CallerLimits.js';

/** Suited to small VMs without a load balancer in front of them. */
const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 60_000,
  keepAliveTimeoutMs: 5000,
  checkIntervalMs: 1000,
  maxConnections: 10_000,
};

export default DEFAULT_CALLER_LIMITS;
