/**
 * What a change would do.
 */
import type LimitBreach from '../limits/LimitBreach.js';
import type ShiftPreview from './ShiftPreview.js';

/** Nothing of it has been stored. */
interface Preview {
  readonly revision: number;
  readonly changes: readonly string[];
  /** Moves that the cap slows. */
  readonly shifts: readonly ShiftPreview[];
  /** Moves that happen at once, in words. */
  readonly atOnce: readonly string[];
  /** Limits that would stop the change. */
  readonly breaches: readonly LimitBreach[];
}

export default Preview;
