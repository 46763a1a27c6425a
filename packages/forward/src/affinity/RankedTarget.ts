/**
 * A target as it is rated for one request.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';

/** Times are in milliseconds. */
interface RankedTarget {
  readonly known: KnownTarget;
  /** Place in the object's ranking, from 0. */
  readonly rank: number;
  /** The object that the request concerns, absent where it is unknown. */
  readonly objectKey: string | undefined;
  /** Whether the target has lately handled the object for this VM. */
  readonly isWarm: boolean;
  /** Time until the answer. */
  readonly costMs: number;
  /** Time until a slot is free. */
  readonly waitMs: number;
  /** Time of the work alone, at a target that is not slow. */
  readonly expectedMs: number;
}

export default RankedTarget;
