/**
 * The record of one selector's shift.
 */
import type Route from '@burdockcove/types/Route';

/** Kept for every selector, also when no shift is under way. */
interface ShiftRecord {
  readonly version: 1;
  readonly selector: string;
  /** Routes of the configuration that the record answers. */
  readonly ordered: readonly Route[];
  /** Routes in force before the shift; a shift that is sent back ends there. */
  readonly origin: readonly Route[];
  /** The move under way: `position` 0 stands for `from`, 1 for `to`. */
  readonly from: readonly Route[];
  readonly to: readonly Route[];
  readonly position: number;
  readonly status: 'moving' | 'held' | 'done';
  readonly direction: 'forward' | 'back';
  /** Why it is held, or what the last step saw; for operators. */
  readonly reason: string;
  /** Revision of the configuration whose weights it answers. */
  readonly configurationRevision: number;
  /** Store revision of the operator's last order that was acted upon; zero where none was. */
  readonly orderRevision: number;
  /** Epoch of the shift role at the last write; zero for the operator's tool. */
  readonly epoch: number;
  /** Wall clock of the last write, ISO 8601. */
  readonly updatedAt: string;
}

export default ShiftRecord;
