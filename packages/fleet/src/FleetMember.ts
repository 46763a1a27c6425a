/**
 * An entry VM as it registers itself.
 */

/** Lives as long as the VM's lease. */
interface FleetMember {
  readonly name: string;
  /** `IP:PORT` for callers. */
  readonly address: string;
  readonly region: string;
  readonly failureDomain: string;
}

export default FleetMember;
