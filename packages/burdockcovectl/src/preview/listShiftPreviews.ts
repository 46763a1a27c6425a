/**
 * Shifts that a change would start.
 */
import computeMovedShare from '@burdockcove/shares/shift/computeMovedShare';
import type Configuration from '@burdockcove/types/Configuration';
import type ShiftPreview from './ShiftPreview.js';

const ROUNDING = 1e-9;

/** Selectors that exist before and after with other weights. */
export default function listShiftPreviews(
  before: Configuration | undefined,
  after: Configuration,
): readonly ShiftPreview[] {
  return after.selectors.flatMap((selector): ShiftPreview[] => {
    const earlier = before?.selectors.find(({ name }) => name === selector.name);
    const moved = earlier === undefined ? 0 : computeMovedShare(earlier.routes, selector.routes);
    if (moved < ROUNDING) {
      return [];
    }
    const { cap, windowSeconds } = selector.shift;
    const steps = Math.ceil(moved / cap - ROUNDING);
    const minSeconds = steps * windowSeconds;
    return [{ selector: selector.name, moved, cap, windowSeconds, steps, minSeconds }];
  });
}
