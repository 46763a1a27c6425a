/**
 * A target's report of its own load.
 */

/** May be outdated or wrong. */
interface TargetLoad {
  readonly inFlight: number;
  readonly slots: number;
  readonly draining: boolean;
  /** Time that work takes on the target's machine now, relative to the usual time; absent if it is not reported. */
  readonly workTimeRatio?: number;
}

export default TargetLoad;
