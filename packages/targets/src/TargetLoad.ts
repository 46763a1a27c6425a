/**
 * A target's report of its own load.
 */

/** May lag or mislead. */
interface TargetLoad {
  readonly inFlight: number;
  readonly slots: number;
  readonly draining: boolean;
}

export default TargetLoad;
