/**
 * Computes one step of a shift.
 */
import type ShiftRecord from './ShiftRecord.js';
import computeMovedShare from './computeMovedShare.js';

/** Keeps a step below its cap despite rounding. */
const ROUNDING_TOLERANCE = 1e-9;

/** Returns the record after a step that moves at most `cap` of the selector's traffic, 0 to 1. */
export default function advanceShift(record: ShiftRecord, cap: number): ShiftRecord {
  const movedShare = computeMovedShare(record.from, record.to);
  const step = movedShare <= cap ? 1 : (cap / movedShare) * (1 - ROUNDING_TOLERANCE);
  const position = Math.min(1, record.position + step);
  return { ...record, position, status: position === 1 ? 'done' : 'moving' };
}
