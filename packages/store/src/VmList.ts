/**
 * The platform's list of VMs, which may be outdated.
 */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type StoreError from '@burdockcove/types/StoreError';
import type Vm from '@burdockcove/types/Vm';

/** Reads the current list. */
interface VmList {
  listVms(): TaskEither<StoreError, readonly Vm[]>;
}

export default VmList;
