/**
 * How one exchange with a target ended.
 */
import type TargetLoad from '@burdockcove/targets/TargetLoad';

/**
 * `Answered`: the caller got the complete response. `Shed`: the target reported that it did not run the request
 * (`isMisdirected`: because another target has its address now). `NotSent`: nothing was written. `InDoubt`: the
 * target may have run the request; `headSent` if part of a response was sent to the caller. `superseded`: another
 * attempt answered first; `silent`: so did it, and this target had been silent.
 */
type ExchangeEnd = {
  /** Milliseconds until the head of the response, or until the end if none arrived. */
  readonly latencyMs: number;
  /** Bytes received of the response's body. */
  readonly receivedBytes: number;
  /** The load that the target reported with its response, if any. */
  readonly load?: TargetLoad;
} & (
  | { readonly _tag: 'Answered'; readonly status: number }
  | { readonly _tag: 'Shed'; readonly status: number; readonly isMisdirected: boolean }
  | {
      readonly _tag: 'NotSent';
      readonly cause:
        | 'unreachable'
        | 'target-unavailable'
        | 'deadline'
        | 'caller-gone'
        | 'superseded'
        | 'stopping'
        | 'refused'
        | 'body-too-large';
      readonly detail: string;
    }
  | {
      readonly _tag: 'InDoubt';
      readonly cause:
        'broken' | 'deadline' | 'caller-gone' | 'silent' | 'superseded' | 'body-too-large';
      readonly headSent: boolean;
      readonly status: number;
      readonly detail: string;
    }
);

export default ExchangeEnd;
