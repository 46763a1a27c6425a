/**
 * Registration of an entry VM.
 */

/** Exists as long as the lease of the VM. */
interface FleetMember {
  readonly name: string;
  /** `IP:PORT` for callers. */
  readonly address: string;
  readonly region: string;
  readonly failureDomain: string;
  /** `IP:PORT` at which other entry VMs read the state of the store; absent if the VM does not pass it on. */
  readonly stateAddress?: string | undefined;
}

export default FleetMember;
