/**
 * How a call to the store can fail.
 */

/** `StoreAnswerLost`: a write may or may not have taken effect. `StoreRefused`: it did not. */
interface StoreError {
  readonly _tag: 'StoreUnavailable' | 'StoreRefused' | 'StoreAnswerLost' | 'StoreMalformed';
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
}

export default StoreError;
