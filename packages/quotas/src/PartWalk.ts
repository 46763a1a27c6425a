/**
 * Walks over the parts of all quotas a few at a time, again after each change.
 *
 * To find the owner of a part, each member is hashed. With many customers and VMs that takes too long for one turn of
 * the event loop.
 */

/** Hashes in one step, some milliseconds of a slow processor. */
const HASHES_PER_STEP = 4000;

/** The caller says what has changed by a number that rises with each change. */
export default class PartWalk {
  private version = -1;

  private next = 0;

  /** Returns the customers to look at now; none once all have been seen since the last change. */
  takeStep(version: number, customers: readonly string[], members: number): readonly string[] {
    if (version !== this.version) {
      this.version = version;
      this.next = 0;
    }
    const first = this.next;
    this.next = Math.min(
      customers.length,
      first + Math.max(1, Math.floor(HASHES_PER_STEP / members)),
    );
    return customers.slice(first, this.next);
  }
}
