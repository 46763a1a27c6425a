/**
 * The moment at which a portion was asked for, on both clocks.
 */

/** In milliseconds. */
interface AskedAt {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

export default AskedAt;
