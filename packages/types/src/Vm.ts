/**
 * A VM in the platform's list.
 */
import type VmState from './VmState.js';

/** One entry VM or target VM. */
interface Vm {
  /** `IP:PORT` of the caller port for entry VMs and of the service for targets. */
  readonly address: string;
  /** `IP:PORT` for other entry VMs; absent for targets. */
  readonly peerAddress?: string;
  readonly kind: 'entry' | 'target';
  readonly failureDomain: string;
  readonly state: VmState;
}

export default Vm;
