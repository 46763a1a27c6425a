/**
 * An operator's word on a shift under way.
 */

/** `run` resumes a held shift, `hold` stops it where it is, `back` returns it to where it began. */
interface ShiftOrder {
  readonly version: 1;
  readonly order: 'run' | 'hold' | 'back';
  readonly operator: string;
  readonly reason: string;
}

export default ShiftOrder;
