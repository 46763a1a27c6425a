/**
 * The right to have one request in flight at one target.
 */

/** Held from before the first byte is sent until the exchange has ended. */
interface SlotPermit {
  readonly target: string;
  /** Gives the slot back; later calls have no effect. */
  release(): void;
}

export default SlotPermit;
