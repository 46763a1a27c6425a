/**
 * What decides on the admission of requests beside the configuration.
 */
import type Logger from '@burdockcove/runtime/Logger';
import type QuotaGate from '../admission/QuotaGate.js';
import type KeyLimits from './KeyLimits.js';

/** Each part is absent in deployments that do not use it. */
interface CallerAdmission {
  readonly keyLimits?: KeyLimits;
  readonly quotaGate?: QuotaGate | undefined;
  /** For refusals that concern keys and quotas. */
  readonly logger?: Logger;
}

export default CallerAdmission;
