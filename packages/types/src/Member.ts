/**
 * An entry VM with what is known of its state.
 */
import type EntryVm from './EntryVm.js';
import type VmState from './VmState.js';

/** One known entry VM. */
interface Member extends EntryVm {
  readonly state: VmState;
  /** False once no entry VM that this one hears has heard from it for the failure timeout. */
  readonly reachable: boolean;
}

export default Member;
