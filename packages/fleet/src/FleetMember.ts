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
}

export default FleetMember;
