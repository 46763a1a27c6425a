/**
 * The result of one exchange with a target.
 */
import type TargetLoad from '@burdockcove/targets/TargetLoad';

/** Feeds the statistics that are kept about the target and its connections. */
interface AttemptResult {
  readonly ended:
    'answered' | 'shed' | 'misdirected' | 'unreachable' | 'broken' | 'timed-out' | 'cancelled';
  /** HTTP status of the response; zero if there was none. */
  readonly status: number;
  /** Milliseconds until the response head arrived, or until the attempt ended without one. */
  readonly latencyMs: number;
  /** Response bytes received over the link; if absent, the expected size is assumed. */
  readonly receivedBytes?: number;
  /** The load reported with the response; absent if it had no load report. */
  readonly load?: TargetLoad;
}

export default AttemptResult;
