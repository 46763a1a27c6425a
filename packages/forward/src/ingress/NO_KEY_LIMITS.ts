/**
 * Limits for deployments whose keys are always current.
 */
import type KeyLimits from './KeyLimits.js';

/** Never refuses a request for the age of what is known. */
const NO_KEY_LIMITS: KeyLimits = {
  getVerifiedAgeMs: () => 0,
  getMaxUnknownKeyAgeMs: () => Infinity,
  getMaxKnownKeyAgeMs: () => Infinity,
};

export default NO_KEY_LIMITS;
