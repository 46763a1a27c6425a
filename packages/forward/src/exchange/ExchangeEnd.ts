/**
 * How one exchange with a target ended.
 */
import type TargetLoad from '@burdockcove/targets/TargetLoad';

/**
 * `Answered`: the caller has the whole answer. `Shed`: the target's own word that it did not run the request (`isMisdirected`: it is another target).
 * `NotSent`: no byte was written. `InDoubt`: the target may have run the request; `headSent` where part of
 * an answer has gone to the caller.
 */
type ExchangeEnd = {
  /** Milliseconds until the head of the answer, or until the end where none came. */
  readonly latencyMs: number;
  /** Bytes of the answer's body that arrived. */
  readonly receivedBytes: number;
  /** The load that the target told of, where it told any. */
  readonly load?: TargetLoad;
} & (
  | { readonly _tag: 'Answered'; readonly status: number }
  | { readonly _tag: 'Shed'; readonly status: number; readonly isMisdirected: boolean }
  | {
      readonly _tag: 'NotSent';
      readonly cause: 'unreachable' | 'deadline' | 'caller-gone' | 'refused';
      readonly detail: string;
    }
  | {
      readonly _tag: 'InDoubt';
      readonly cause: 'broken' | 'deadline' | 'caller-gone' | 'silent';
      readonly headSent: boolean;
      readonly status: number;
      readonly detail: string;
    }
);

export default ExchangeEnd;
