/**
 * Classifies what is known about whether a target has recently handled an object.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import type Warmth from './Warmth.js';

/** `isWarm` says whether this VM has sent the object there lately; `nowMs` is monotonic. */
export default function classifyWarmth(
  { coldUntilMs }: Pick<KnownTarget, 'coldUntilMs'>,
  rank: number,
  objectKey: string | undefined,
  isWarm: boolean,
  nowMs: number,
): Warmth {
  if (objectKey === undefined) {
    return 'none';
  }
  if (isWarm) {
    return 'known';
  }
  if (rank > 1 || coldUntilMs > nowMs) {
    return 'unlikely';
  }
  return rank === 0 ? 'preferred' : 'second';
}
