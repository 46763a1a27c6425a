/**
 * Health and load reports requested from targets.
 */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type PeerError from '@burdockcove/types/PeerError';
import type TargetLoad from './TargetLoad.js';

/** Every call ends within the adapter's timeout. */
interface TargetReports {
  readHealth(address: string): TaskEither<PeerError, boolean>;
  readLoad(address: string): TaskEither<PeerError, TargetLoad>;
}

export default TargetReports;
