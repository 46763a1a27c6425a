/**
 * Dependencies of the forwarder.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import type ForwardMetrics from '../ForwardMetrics.js';
import type StopAdmission from '../drain/StopAdmission.js';
import type RetryBudget from '../RetryBudget.js';
import type TargetChooser from '../TargetChooser.js';
import type AttemptRunner from './AttemptRunner.js';
import type PermitReleaser from './PermitReleaser.js';

/** Shared by all requests of the process. */
interface ForwarderDependencies {
  readonly chooser: TargetChooser;
  readonly runner: Pick<AttemptRunner, 'runAttempt'>;
  readonly budget: RetryBudget;
  readonly permits: PermitReleaser;
  readonly stopAdmission: StopAdmission;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ForwardMetrics;
}

export default ForwarderDependencies;
