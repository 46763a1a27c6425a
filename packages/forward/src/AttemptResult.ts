/**
 * What one exchange with a target came to.
 */
import type TargetLoad from '@burdockcove/targets/TargetLoad';

/** Evidence about the target and the connection. */
interface AttemptResult {
  readonly ended:
    'answered' | 'shed' | 'misdirected' | 'unreachable' | 'broken' | 'timed-out' | 'cancelled';
  /** HTTP status of the answer, zero where none came. */
  readonly status: number;
  /** Milliseconds until the head of the answer, or until the attempt ended. */
  readonly latencyMs: number;
  /** Bytes of the answer that came over the link; absent: as many as were expected. */
  readonly receivedBytes?: number;
  /** The load that the answer told of; absent: it told none. */
  readonly load?: TargetLoad;
}

export default AttemptResult;
