/**
 * The entry under which an entry VM registers.
 *
 * The value holds the time of day since which the entry has been in the store without a gap, so that a process that
 * replaces the entry of an earlier one knows for how long the other VMs may have known of it. It also holds the era of
 * the store in which it was written: after a return from a snapshot, an entry may be there again that was gone, and whose
 * successor the store has lost.
 */

/** Times are Unix times in milliseconds. */
interface MemberRegistration {
  readonly key: string;
  /** Returns the value of an entry that has been there since the time, written in the era of the store. */
  buildValue(registeredAtMs: number, era: number): string;
  /**
   * Returns the time that the value holds; undefined if it holds none, as those of older programs, or was not written in
   * the era.
   */
  readRegisteredAt(value: string, era: number): number | undefined;
}

export default MemberRegistration;
