/**
 * What one run of the `overload` measurement came to.
 */

interface OverloadResult {
  /** Requests answered in time for each second of the overload. */
  readonly goodput: number;
  /** Milliseconds that attempts took which were answered during the overload. */
  readonly answeredP50Ms: number;
  readonly answeredP99Ms: number;
  /** Milliseconds until an attempt was refused during the overload. */
  readonly refusedP50Ms: number;
  readonly refusedP99Ms: number;
  /** Seconds after the overload's end until nearly every request is answered again and stays so. */
  readonly recoverySeconds: number;
}

export default OverloadResult;
