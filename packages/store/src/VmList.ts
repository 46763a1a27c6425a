/**
 * The platform's list of VMs, which may lag.
 */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type StoreError from '@burdockcove/types/StoreError';
import type Vm from '@burdockcove/types/Vm';

/** Reads the list as it stands. */
interface VmList {
  listVms(): TaskEither<StoreError, readonly Vm[]>;
}

export default VmList;
