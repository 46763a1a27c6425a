/**
 * An entry VM: a VM that runs one burdockcove process.
 */

/** Where an entry VM is and how to reach it. */
interface EntryVm {
  /** `IP:PORT` for callers; also the VM's identity. */
  readonly address: string;
  /** `IP:PORT` for other entry VMs. */
  readonly peerAddress: string;
  readonly region: string;
  readonly failureDomain: string;
}

export default EntryVm;
