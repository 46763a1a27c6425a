/**
 * The state of one selector's shift, for operators.
 */
import type Route from '@burdockcove/types/Route';

/** Shares are of the selector's traffic, 0 to 1. */
interface ShiftStatus {
  readonly selector: string;
  readonly status: 'moving' | 'held' | 'done';
  readonly direction: 'forward' | 'back';
  readonly position: number;
  readonly reason: string;
  readonly updatedAt: string;
  readonly epoch: number;
  readonly inForce: readonly Route[];
  readonly ordered: readonly Route[];
}

export default ShiftStatus;
