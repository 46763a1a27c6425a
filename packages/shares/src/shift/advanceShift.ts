/**
 * One step of a shift.
 */
import type ShiftRecord from './ShiftRecord.js';
import measureMove from './measureMove.js';

/** Keeps a step below its cap whatever the rounding. */
const ROUNDING = 1e-9;

/** The record after a step that moves at most `cap` of the selector's traffic, 0 to 1. */
export default function advanceShift(record: ShiftRecord, cap: number): ShiftRecord {
  const move = measureMove(record.from, record.to);
  const step = move <= cap ? 1 : (cap / move) * (1 - ROUNDING);
  const position = Math.min(1, record.position + step);
  return { ...record, position, status: position === 1 ? 'done' : 'moving' };
}
