/**
 * What all attempts share.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type TargetProtocol from '@burdockcove/targets/TargetProtocol';
import type ForwardMetrics from '../ForwardMetrics.js';
import type SilenceWatch from './SilenceWatch.js';

/** One set a process. */
interface AttemptParts {
  readonly silenceWatch: SilenceWatch;
  readonly protocol: TargetProtocol;
  readonly clock: Clock;
  readonly metrics: ForwardMetrics;
}

export default AttemptParts;
