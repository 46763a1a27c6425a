/**
 * The stored shift state of one selector.
 */
import type Route from '@burdockcove/types/Route';

/** Exists for every selector, even if no shift is running. */
interface ShiftRecord {
  readonly version: 1;
  readonly selector: string;
  /** Routes of the configuration that the shift leads to. */
  readonly ordered: readonly Route[];
  /** Routes in force before the shift; a rolled-back shift ends there. */
  readonly origin: readonly Route[];
  /** The current move: `position` 0 stands for `from`, 1 for `to`. */
  readonly from: readonly Route[];
  readonly to: readonly Route[];
  readonly position: number;
  readonly status: 'moving' | 'held' | 'done';
  readonly direction: 'forward' | 'back';
  /** Why the shift is held, or the result of the last step; for operators. */
  readonly reason: string;
  /** Revision of the configuration that ordered these weights. */
  readonly configurationRevision: number;
  /** Store revision of the last operator's order that was applied; zero if there was none. */
  readonly orderRevision: number;
  /** Epoch of the shift role at the last write; zero if the operator's tool wrote it. */
  readonly epoch: number;
  /** Wall-clock time of the last write, ISO 8601. */
  readonly updatedAt: string;
}

export default ShiftRecord;
