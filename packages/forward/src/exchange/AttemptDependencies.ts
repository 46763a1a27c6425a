/**
 * Dependencies of attempts.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type TargetAvailability from '@burdockcove/targets/TargetAvailability';
import type TargetProtocol from '@burdockcove/targets/TargetProtocol';
import type StopAdmission from '../drain/StopAdmission.js';
import type ForwardMetrics from '../ForwardMetrics.js';
import type SilenceDetector from './SilenceDetector.js';

/** Shared by all attempts of the process. */
interface AttemptDependencies {
  readonly silenceDetector: SilenceDetector;
  readonly protocol: TargetProtocol;
  readonly availability: TargetAvailability;
  readonly stopAdmission: StopAdmission;
  readonly clock: Clock;
  readonly metrics: ForwardMetrics;
}

export default AttemptDependencies;
