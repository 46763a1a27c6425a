/**
 * The size of the fleet as recorded in the store.
 */

/** A record that does not exist has size and revision zero. */
interface FleetSizeRecord {
  /** Number of entry VMs. */
  readonly size: number;
  /** Revision of the store at which it was written. */
  readonly revision: number;
}

export default FleetSizeRecord;
