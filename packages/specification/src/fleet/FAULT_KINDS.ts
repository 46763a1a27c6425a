/**
 * The faults of a simulation, listed.
 */
import type FaultKind from './FaultKind.js';

/** In a fixed order, so that a seed always draws the same. */
const FAULT_KINDS: readonly FaultKind[] = [
  'restart',
  'replace',
  'pause',
  'cut-peer',
  'cut-store',
  'isolate',
  'store-down',
  'store-slow',
  'lose-answers',
  'lapse-role',
  'leave',
  'lower-slots',
  'raise-slots',
  'new-weights',
];

export default FAULT_KINDS;
