/**
 * An operator's order for a running shift.
 */

/**
 * `run` resumes a held shift, `hold` pauses it at its position, `back` returns it to the weights
 * before the shift.
 */
interface ShiftOrder {
  readonly version: 1;
  readonly order: 'run' | 'hold' | 'back';
  readonly operator: string;
  readonly reason: string;
}

export default ShiftOrder;
