/**
 * The faults of a simulation.
 */

/** `restart` keeps the address, `replace` does not. */
type FaultKind =
  | 'restart'
  | 'replace'
  | 'pause'
  | 'cut-peer'
  | 'cut-store'
  | 'isolate'
  | 'store-down'
  | 'store-slow'
  | 'lose-answers'
  | 'lapse-role'
  | 'leave'
  | 'lower-slots'
  | 'raise-slots'
  | 'new-weights';

export default FaultKind;
