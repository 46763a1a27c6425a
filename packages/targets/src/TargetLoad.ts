/**
 * A target's report of its own load.
 */

/** May be outdated or wrong. */
interface TargetLoad {
  readonly inFlight: number;
  readonly slots: number;
  readonly draining: boolean;
}

export default TargetLoad;
