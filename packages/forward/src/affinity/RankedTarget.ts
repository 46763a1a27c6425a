/**
 * A target with its estimated cost for one request.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import type Forecast from '../cost/Forecast.js';

/** Times are in milliseconds. */
interface RankedTarget {
  readonly known: KnownTarget;
  /** Position in the object's preference order, from 0. */
  readonly rank: number;
  /** The object that the request concerns; undefined where it is unknown. */
  readonly objectKey: string | undefined;
  /** Whether the target has recently handled the object for this VM. */
  readonly isWarm: boolean;
  /** Expected time until the response. */
  readonly costMs: number;
  /** Expected time until a slot is free. */
  readonly waitMs: number;
  /** Expected processing time at a target that is not slowed down. */
  readonly expectedDurationMs: number;
  /** Present where the estimate comes from learned work. */
  readonly forecast?: Forecast;
}

export default RankedTarget;
