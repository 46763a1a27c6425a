/**
 * Health checks of single targets.
 */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type PeerError from '@burdockcove/types/PeerError';
import type Target from '@burdockcove/types/Target';
import type TargetStatus from './TargetStatus.js';

/** Every check ends within the adapter's timeout. */
interface TargetStatusReader {
  /** Left if the target did not respond, refused the check because it is full, or responded with something else. */
  readStatus(target: Target): TaskEither<PeerError, TargetStatus>;
}

export default TargetStatusReader;
