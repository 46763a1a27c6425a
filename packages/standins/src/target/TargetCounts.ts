/**
 * What a target stand-in has seen.
 */

/** Ground truth that tests compare with what callers were told. */
interface TargetCounts {
  /** Times each request id was started here. */
  readonly runs: ReadonlyMap<string, number>;
  readonly shed: number;
  /** Requests whose caller went away before the answer. */
  readonly cancelled: number;
  /** Milliseconds of work done for requests that ended without a caller. */
  readonly wastedMs: number;
  readonly inFlight: number;
  readonly peakInFlight: number;
  readonly peakConnections: number;
  /** Monotonic time at which the last request was started, in milliseconds; negative before the first. */
  readonly lastStartMs: number;
}

export default TargetCounts;
